// Package ident defines the types of identifiers and units that several packages share.
package ident

import "hash/fnv"

// Host identifies an entry host or an endpoint host.
type Host string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region, which has one or more availability zones.
type Region string

// Pool is the name of a group of endpoints with the same kind of back end.
type Pool string

// Organisation is the name of an organisation, a customer of the operators.
type Organisation string

// Template is the name of a template.
type Template string

// Deployment is the name of a deployment within its organisation.
type Deployment string

// ChangeID is the id of a change of the configuration. Its author chooses it, so that a repeated append is recognised.
type ChangeID string

// Author is the name of the person or program that requested a change.
type Author string

// ObjectPath is the path of a configuration object, such as "template/chat" or "deployment/acme/chat".
type ObjectPath string

// Revision is the number of accepted changes of one object. Zero means that the object never existed.
type Revision int64

// Offset is a position in a log stream: the number of records before it.
type Offset int64

// Digest is a SHA-256 digest in lower-case hexadecimal.
type Digest string

// IsValid reports whether d has the form of a SHA-256 digest.
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

// digestLength is the number of hexadecimal digits of a SHA-256 digest.
const digestLength = 64

// WeightSet identifies a model version together with its adapters. It is computed from the digests of their manifests.
type WeightSet string

// RequestID is the id of a caller's request.
type RequestID string

// FencingToken is the fencing token of a load command to an engine. A command with a higher token supersedes one with a
// lower token.
type FencingToken int64

// Bytes is a size in bytes.
type Bytes int64

// Rate is a number of requests per second.
type Rate float64

// TemplateObject returns the path of a template.
func TemplateObject(t Template) ObjectPath {
	return ObjectPath("template/" + string(t))
}

// OrganisationObject returns the path of an organisation.
func OrganisationObject(o Organisation) ObjectPath {
	return ObjectPath("organisation/" + string(o))
}

// DeploymentObject returns the path of an organisation's deployment.
func DeploymentObject(o Organisation, d Deployment) ObjectPath {
	return ObjectPath("deployment/" + string(o) + "/" + string(d))
}

// Rank is the priority class of a request; 0 is the most urgent.
type Rank int

// OrganisationKey is a hash of the name of an organisation, for messages in which the name would take too much room. Zero
// means none.
type OrganisationKey uint32

// Key returns the hash of the name.
func (o Organisation) Key() OrganisationKey {
	if o == "" {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(o))
	return OrganisationKey(h.Sum32())
}
