// Package ident names the identifiers and units that all parts of the system share.
package ident

// Host identifies one host, entry or endpoint.
type Host string

// Zone names an availability zone.
type Zone string

// Region names a region, which holds one or more availability zones.
type Region string

// Pool names a group of endpoints that run the same kind of back end.
type Pool string

// Organisation identifies a customer of the operators.
type Organisation string

// Template is the name of a template.
type Template string

// Deployment is the name of a deployment within its organisation.
type Deployment string

// Change identifies one change of configuration. Its author picks it, so that a repeated append is recognised.
type Change string

// Author names who asked for a change.
type Author string

// Object is the path of a configuration object, such as "template/chat" or "deployment/acme/chat".
type Object string

// Revision counts the accepted changes of one object; zero means that it does not exist.
type Revision int64

// Offset is a position in a log stream: the number of records that come before it.
type Offset int64

// Digest is a SHA-256 sum in lower-case hexadecimal.
type Digest string

// IsValid tells whether the digest has the form of a SHA-256 sum.
func (d Digest) IsValid() bool {
	if len(d) != digestLength {
		return false
	}
	for _, c := range d {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// digestLength is the number of hexadecimal digits of a SHA-256 sum.
const digestLength = 64

// WeightSet is the digest of a model version with its adapters.
type WeightSet string

// Request identifies one caller's request.
type Request string

// Fence is the fencing number of an order to an engine. A higher number supersedes a lower one.
type Fence int64

// Bytes is a size in bytes.
type Bytes int64

// TemplateObject returns the path of a template.
func TemplateObject(t Template) Object {
	return Object("template/" + string(t))
}

// OrganisationObject returns the path of an organisation.
func OrganisationObject(o Organisation) Object {
	return Object("organisation/" + string(o))
}

// DeploymentObject returns the path of an organisation's deployment.
func DeploymentObject(o Organisation, d Deployment) Object {
	return Object("deployment/" + string(o) + "/" + string(d))
}
