// Package weightclient reads manifests and chunks from the weight store, the origin and other endpoint hosts.
package weightclient

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/pacer"
)

const (
	maxManifestBytes = 16 << 20
	maxNameBytes     = 256
)

// Client reads from any source by its base address.
type Client struct {
	// HTTP sends the requests.
	HTTP *http.Client
}

// Error is an answer of a source other than success.
type Error struct {
	URL    string
	Status int
}

// Error names the address and the status.
func (e *Error) Error() string {
	return fmt.Sprintf("get %s: status %d", e.URL, e.Status)
}

// Resolve returns the digest of the manifest that a source keeps for an artifact version.
func (c *Client) Resolve(ctx context.Context, base, name, version string) (ident.Digest, error) {
	data, err := c.get(ctx, base+"/names/"+url.PathEscape(name)+"/"+url.PathEscape(version), maxNameBytes)
	return ident.Digest(data), err
}

// Artifact returns a manifest that matches its digest.
func (c *Client) Artifact(ctx context.Context, base string, d ident.Digest) (manifest.Artifact, error) {
	data, err := c.get(ctx, base+"/artifacts/"+string(d), maxManifestBytes)
	if err != nil {
		return manifest.Artifact{}, err
	}
	return manifest.Decode(data, d)
}

// Progress is told of the bytes of a chunk received so far. It may wait before it returns; an error ends the read.
type Progress func(ctx context.Context, done int) error

// Chunk returns the content that a source gives for a chunk. The caller verifies it. zone is the reader's own.
func (c *Client) Chunk(ctx context.Context, base string, chunk manifest.Chunk, zone ident.Zone, progress Progress) ([]byte, error) {
	address := base + "/chunks/" + string(chunk.Digest)
	body, err := c.open(ctx, address, zone)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	data := make([]byte, 0, chunk.Size)
	for len(data) < cap(data) {
		n, err := body.Read(data[len(data):min(cap(data), len(data)+pacer.Piece)])
		data = data[:len(data)+n]
		if perr := progress(ctx, len(data)); perr != nil {
			return nil, perr
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("get %s: %w", address, err)
		}
	}
	if len(data) < cap(data) {
		return nil, &SizeError{URL: address, Got: ident.Bytes(len(data)), Want: chunk.Size}
	}
	return data, nil
}

// SizeError reports content that ended early.
type SizeError struct {
	URL  string
	Got  ident.Bytes
	Want ident.Bytes
}

// Error names the address and the sizes.
func (e *SizeError) Error() string {
	return fmt.Sprintf("get %s: ended after %d bytes of %d; ask another source", e.URL, e.Got, e.Want)
}

func (c *Client) get(ctx context.Context, address string, limit int64) ([]byte, error) {
	body, err := c.open(ctx, address, "")
	if err != nil {
		return nil, err
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, limit))
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", address, err)
	}
	return data, nil
}

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
		return nil, &Error{URL: address, Status: resp.StatusCode}
	}
	return resp.Body, nil
}
