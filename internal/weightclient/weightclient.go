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

// Chunk returns the content that a source gives for a chunk. The caller verifies it.
func (c *Client) Chunk(ctx context.Context, base string, chunk manifest.Chunk) ([]byte, error) {
	return c.get(ctx, base+"/chunks/"+string(chunk.Digest), int64(chunk.Size))
}

func (c *Client) get(ctx context.Context, address string, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", address, err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &Error{URL: address, Status: resp.StatusCode}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", address, err)
	}
	return data, nil
}
