package gateway

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
)

// Kinds of features, so that a part of a prompt and an entire request have different features even if their bytes are
// the same.
const (
	promptPartFeature = "part\x00"
	requestFeature    = "request\x00"
)

// wholeRequest is the name of the feature of an entire request in the logs.
const wholeRequest = "request"

// setFeatures sets what the request has in common with others: the parts of its prompt that they may share, followed by
// the request itself, which callers may repeat. Neither depends on the pool, as a route may choose it at random.
func (req *request) setFeatures() {
	req.features = make([]crashsuspector.Feature, 0, len(req.PromptParts)+1)
	var h xxhash.Digest
	for _, part := range req.PromptParts {
		h.Reset()
		writeStrings(&h, promptPartFeature, part)
		req.features = append(req.features, crashsuspector.Feature(h.Sum64()))
	}
	h.Reset()
	writeStrings(&h, requestFeature, req.route.Host, "\x00", req.r.Method, "\x00", req.r.RequestURI, "\x00", string(req.Key), "\x00")
	_, _ = h.Write(req.body) // never fails
	req.features = append(req.features, crashsuspector.Feature(h.Sum64()))
}

func writeStrings(h *xxhash.Digest, parts ...string) {
	for _, s := range parts {
		_, _ = h.WriteString(s) // never fails
	}
}

// featureText returns a feature as it appears in the logs.
func featureText(f crashsuspector.Feature) string {
	const base = 16
	return strconv.FormatUint(uint64(f), base)
}

// featureList returns features as they appear in the logs.
func featureList(features []crashsuspector.Feature) string {
	texts := make([]string, 0, len(features))
	for _, f := range features {
		texts = append(texts, featureText(f))
	}
	return strings.Join(texts, " ")
}

// quarantinedFeature returns the first feature of the request that is quarantined, and the part of the prompt that it
// stands for.
func (g *Gateway) quarantinedFeature(req *request) (text, part string) {
	quarantined := g.Suspector.QuarantinedFeatures()
	for i, f := range req.features {
		if !slices.Contains(quarantined, f) {
			continue
		}
		if i < len(req.PromptParts) {
			return featureText(f), req.PromptParts[i]
		}
		return featureText(f), wholeRequest
	}
	return "", ""
}
