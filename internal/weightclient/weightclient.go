// Package weightclient fetches manifests and chunks from the weight store, the origin and other endpoint hosts.
package weightclient

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/bodyreader"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/pacer"
)

const (
	maxManifestBytes = 16 << 20
	maxNameBytes     = 256
	// minChunkRate is the rate in bytes per second below which a chunk is given up, once its reads have taken slowAfter.
	minChunkRate = 4 << 10
	slowAfter    = 2 * time.Second
)

// Client fetches from any source, given the source's base URL.
type Client struct {
	// HTTP sends the requests.
	HTTP *http.Client
}

// StatusError reports a response whose status is not 200.
type StatusError struct {
	URL    string
	Status int
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("get %s: status %d", e.URL, e.Status)
}

// Resolve returns the digest of the manifest that a source has published for an artifact version.
func (c *Client) Resolve(ctx context.Context, base, name, version string) (ident.Digest, error) {
	data, err := c.get(ctx, base+"/names/"+url.PathEscape(name)+"/"+url.PathEscape(version), maxNameBytes)
	return ident.Digest(data), err
}

// ResolveArtifact returns the digest that Resolve returns, once the source has delivered a manifest that matches it. A
// digest by itself has nothing to be compared with.
func (c *Client) ResolveArtifact(ctx context.Context, base, name, version string) (ident.Digest, error) {
	d, err := c.Resolve(ctx, base, name, version)
	if err != nil {
		return "", err
	}
	if _, err := c.Artifact(ctx, base, d); err != nil {
		return "", fmt.Errorf("verify digest of %s version %s: %w", name, version, err)
	}
	return d, nil
}

// Artifact fetches a manifest and verifies it against its digest.
func (c *Client) Artifact(ctx context.Context, base string, d ident.Digest) (manifest.Artifact, error) {
	data, err := c.get(ctx, base+"/artifacts/"+string(d), maxManifestBytes)
	if err != nil {
		return manifest.Artifact{}, err
	}
	return manifest.Decode(data, d)
}

// ProgressFunc is called with the number of bytes of a chunk that have been received so far. It may block to limit the
// rate; an error aborts the fetch.
type ProgressFunc func(ctx context.Context, received int) error

// Chunk fetches the content of a chunk. The caller must verify the content against its digest. zone is the zone of the
// local host.
func (c *Client) Chunk(ctx context.Context, base string, chunk manifest.Chunk, zone ident.Zone, progress ProgressFunc) ([]byte, error) {
	address := base + "/chunks/" + string(chunk.Digest)
	body, err := c.open(ctx, address, zone)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	data := make([]byte, 0, chunk.Size)
	// waited is the time that the reads have taken, without that of progress.
	var waited time.Duration
	for len(data) < cap(data) {
		startTime := time.Now()
		n, err := body.Read(data[len(data):min(cap(data), len(data)+pacer.MaxTransferBytes)])
		data = data[:len(data)+n]
		waited += time.Since(startTime)
		if waited > slowAfter && float64(len(data)) < minChunkRate*waited.Seconds() {
			return nil, &SlowError{URL: address, Got: ident.Bytes(len(data)), Waited: waited}
		}
		if progressErr := progress(ctx, len(data)); progressErr != nil {
			return nil, progressErr
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("get %s: %w", address, err)
		}
	}
	if len(data) < cap(data) {
		return nil, &TruncatedError{URL: address, Got: ident.Bytes(len(data)), Want: chunk.Size}
	}
	return data, nil
}

// TruncatedError reports a response that ended before the chunk was complete.
type TruncatedError struct {
	URL  string
	Got  ident.Bytes
	Want ident.Bytes
}

// Error implements the error interface.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("get %s: response truncated: got %d of %d bytes; fetch it from another source", e.URL, e.Got, e.Want)
}

// SlowError reports a chunk that arrived at less than the minimum rate.
type SlowError struct {
	URL    string
	Got    ident.Bytes
	Waited time.Duration
}

// Error implements the error interface.
func (e *SlowError) Error() string {
	return fmt.Sprintf("get %s: %d bytes in %s are fewer than %d per second; fetch it from another source", e.URL, e.Got, e.Waited, minChunkRate)
}

// get returns the body of the response, which may have up to limit bytes.
func (c *Client) get(ctx context.Context, address string, limit int) ([]byte, error) {
	body, err := c.open(ctx, address, "")
	if err != nil {
		return nil, err
	}
	defer body.Close()
	data, err := bodyreader.ReadAll(body, limit)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", address, err)
	}
	return data, nil
}

// open sends a request and returns the body of a successful response.
func (c *Client) open(ctx context.Context, address string, zone ident.Zone) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", address, err)
	}
	if zone != "" {
		req.Header.Set(headers.Zone, string(zone))
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, &StatusError{URL: address, Status: resp.StatusCode}
	}
	return resp.Body, nil
}
