package archiver_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/archiver"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

const chunks = 10

func content(s fleetconfig.ServedModel, i int) []byte {
	return fmt.Appendf(nil, "%s %d %d", s.Model, s.Release, i)
}

func artifact(s fleetconfig.ServedModel) manifest.Artifact {
	a := manifest.Artifact{Name: string(s.Model), Version: fmt.Sprint(s.Release)}
	for i := range chunks {
		data := content(s, i)
		a.Chunks = append(a.Chunks, manifest.Chunk{Digest: manifest.DigestOf(data), Size: ident.Bytes(len(data))})
		a.Size += ident.Bytes(len(data))
	}
	return a
}

func start() (*archiver.Archiver, map[int]map[string][]byte) {
	topics := make(map[int]map[string][]byte)
	write := func(_ context.Context, partition int, values map[string][]byte) error {
		if topics[partition] == nil {
			topics[partition] = make(map[string][]byte)
		}
		maps.Copy(topics[partition], values)
		return nil
	}
	const manifests = -1
	return &archiver.Archiver{
		Partitions: 4, WritePartition: write,
		ReadPartition: func(_ context.Context, partition int, _ func(int)) (map[string][]byte, error) {
			return topics[partition], nil
		},
		ReadManifests: func(context.Context) (map[string][]byte, error) { return topics[manifests], nil },
		WriteManifest: func(ctx context.Context, key string, value []byte) error {
			return write(ctx, manifests, map[string][]byte{key: value})
		},
	}, topics
}

func TestSavedReleaseIsReadBackUntilReplaced(t *testing.T) {
	is := is.New(t)
	arch, _ := start()
	ctx := context.Background()
	for release := fleetconfig.Release(1); release <= 2; release++ {
		s := fleetconfig.ServedModel{Model: "m", Release: release}
		_, err := arch.LoadManifest(ctx, s)
		var missing *archiver.MissingError
		is.True(errors.As(err, &missing))
		for p := range arch.Partitions {
			is.NoErr(arch.SavePartition(ctx, s, artifact(s), p, func(i int) ([]byte, bool) { return content(s, i), true }))
		}
		a, err := arch.LoadManifest(ctx, s)
		is.NoErr(err)
		is.Equal(a, artifact(s))
		for i := range chunks {
			got, err := arch.LoadPartition(ctx, s, arch.Partition(i), nil)
			is.NoErr(err)
			is.Equal(got[i], content(s, i))
		}
	}
	// The newer release has overwritten the older one.
	_, err := arch.LoadPartition(ctx, fleetconfig.ServedModel{Model: "m", Release: 1}, 0, nil)
	var missing *archiver.MissingError
	is.True(errors.As(err, &missing))
}

func TestForeignKeysAreSkippedAndCorruptRecordsFail(t *testing.T) {
	is := is.New(t)
	arch, topics := start()
	ctx := context.Background()
	s := fleetconfig.ServedModel{Model: "m", Release: 1}
	is.NoErr(arch.SavePartition(ctx, s, artifact(s), 1, func(i int) ([]byte, bool) { return content(s, i), true }))
	topics[1]["other/1"], topics[1]["m/manifest"], topics[1]["odd"] = []byte("x"), []byte("x"), nil
	got, err := arch.LoadPartition(ctx, s, 1, nil)
	is.NoErr(err)
	is.Equal(len(got), 3)
	topics[1]["m/5"] = []byte("\xff")
	_, err = arch.LoadPartition(ctx, s, 1, nil)
	is.True(err != nil)
	is.True(arch.SavePartition(ctx, s, artifact(s), 0, func(int) ([]byte, bool) { return nil, false }) != nil)
}
