// Package archiver archives the newest release of each model in the platform's store, so that a fleet that restarts
// after a power failure does not have to wait for the origin of weights, whose link is narrow.
//
// The chunks are spread over the partitions of a topic. Each partition is read and written by one call, and holds the
// chunks of one stripe of the chunk exchange between hosts, so that the host that reads a stripe makes one call.
package archiver

import (
	"context"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

// manifestKeySuffix is appended to the model's name in the key of a manifest.
const manifestKeySuffix = "/manifest"

// Archiver reads and writes archived releases. Set its fields before use.
type Archiver struct {
	// Partitions is the number of partitions that hold chunks, at least one.
	Partitions int
	// ReadPartition returns the newest value of each key of a partition of the chunks' topic. It calls progress with the
	// number of bytes received so far.
	ReadPartition func(ctx context.Context, partition int, progress func(bytes int)) (map[string][]byte, error)
	// WritePartition writes new values of keys in one partition of that topic.
	WritePartition func(ctx context.Context, partition int, values map[string][]byte) error
	// ReadManifests returns the newest value of each key of the manifests' topic, and WriteManifest writes one.
	ReadManifests func(ctx context.Context) (map[string][]byte, error)
	WriteManifest func(ctx context.Context, key string, value []byte) error
}

// chunkRecord is the value of a chunk's key. A key consists of the model and the number of the chunk, so that a newer
// release overwrites the chunks of the older one.
type chunkRecord struct {
	_       struct{} `cbor:",toarray"`
	Release fleetconfig.Release
	Data    []byte
}

type manifestRecord struct {
	Release  fleetconfig.Release `cbor:"release"`
	Manifest manifest.Artifact   `cbor:"manifest"`
}

// MissingError reports that the store does not hold the requested release.
type MissingError struct {
	Serving fleetconfig.ServedModel
}

// Error returns a message with the release and the model.
func (e *MissingError) Error() string {
	return fmt.Sprintf("store does not hold release %d of %s", e.Serving.Release, e.Serving.Model)
}

func chunkKey(m fleetconfig.Model, number int) string {
	return fmt.Sprintf("%s/%d", m, number)
}

// LoadManifest returns the manifest of a release, or a MissingError.
func (a *Archiver) LoadManifest(ctx context.Context, s fleetconfig.ServedModel) (manifest.Artifact, error) {
	values, err := a.ReadManifests(ctx)
	if err != nil {
		return manifest.Artifact{}, fmt.Errorf("read archived manifests: %w", err)
	}
	data, ok := values[string(s.Model)+manifestKeySuffix]
	if !ok {
		return manifest.Artifact{}, &MissingError{Serving: s}
	}
	var rec manifestRecord
	if err := cbor.Unmarshal(data, &rec); err != nil {
		return manifest.Artifact{}, fmt.Errorf("decode archived manifest of %s: %w", s.Model, err)
	}
	if rec.Release != s.Release {
		return manifest.Artifact{}, &MissingError{Serving: s}
	}
	return rec.Manifest, rec.Manifest.Validate()
}

// Partition returns the partition that holds a chunk.
func (a *Archiver) Partition(number int) int {
	return number % a.Partitions
}

// LoadPartition returns the chunks of a release in one partition, by their numbers. They are not verified.
func (a *Archiver) LoadPartition(ctx context.Context, s fleetconfig.ServedModel, partition int, progress func(bytes int)) (map[int][]byte, error) {
	values, err := a.ReadPartition(ctx, partition, progress)
	if err != nil {
		return nil, fmt.Errorf("read archived chunks: %w", err)
	}
	out := make(map[int][]byte)
	for key, data := range values {
		numberText, ok := strings.CutPrefix(key, string(s.Model)+"/")
		var number int
		if _, err := fmt.Sscanf(numberText, "%d", &number); !ok || err != nil {
			continue
		}
		var rec chunkRecord
		if err := cbor.Unmarshal(data, &rec); err != nil {
			return nil, fmt.Errorf("decode archived chunk %q: %w", key, err)
		}
		if rec.Release == s.Release {
			out[number] = rec.Data
		}
	}
	if len(out) == 0 {
		return nil, &MissingError{Serving: s}
	}
	return out, nil
}

// SavePartition writes the chunks of one partition, and the manifest along with the first partition. The function get
// returns a chunk by its number.
func (a *Archiver) SavePartition(ctx context.Context, s fleetconfig.ServedModel, artifact manifest.Artifact, partition int, get func(number int) ([]byte, bool)) error {
	values := make(map[string][]byte)
	for i := partition; i < len(artifact.Chunks); i += a.Partitions {
		data, ok := get(i)
		if !ok {
			return fmt.Errorf("archive release %d of %s: this host does not hold chunk %d", s.Release, s.Model, i)
		}
		rec, err := cbor.Marshal(chunkRecord{Release: s.Release, Data: data})
		if err != nil {
			return fmt.Errorf("encode chunk %d of %s: %w", i, s.Model, err)
		}
		values[chunkKey(s.Model, i)] = rec
	}
	if len(values) > 0 {
		if err := a.WritePartition(ctx, partition, values); err != nil {
			return fmt.Errorf("archive chunks of release %d of %s: %w", s.Release, s.Model, err)
		}
	}
	if partition > 0 {
		return nil
	}
	rec, err := cbor.Marshal(manifestRecord{Release: s.Release, Manifest: artifact})
	if err != nil {
		return fmt.Errorf("encode manifest of %s: %w", s.Model, err)
	}
	if err := a.WriteManifest(ctx, string(s.Model)+manifestKeySuffix, rec); err != nil {
		return fmt.Errorf("archive manifest of release %d of %s: %w", s.Release, s.Model, err)
	}
	return nil
}
