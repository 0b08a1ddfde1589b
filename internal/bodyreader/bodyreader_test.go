package bodyreader_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/bodyreader"
)

// endless has no end and counts the bytes that were read.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.read += len(p)
	return len(p), nil
}

func TestBodyWithoutEndIsAnError(t *testing.T) {
	is := is.New(t)
	body := &endless{}
	data, err := bodyreader.ReadAll(body, 1000)
	var sizeErr *bodyreader.SizeError
	is.True(errors.As(err, &sizeErr))
	is.Equal(sizeErr.Limit, 1000)
	is.Equal(len(data), 0)
	is.Equal(body.read, 1001)
	is.Equal(bodyreader.ReadStart(body, 3), "xxx")
}

func TestBodyUpToLimitIsComplete(t *testing.T) {
	is := is.New(t)
	data, err := bodyreader.ReadAll(strings.NewReader("abc"), 3)
	is.NoErr(err)
	is.Equal(string(data), "abc")
	_, err = bodyreader.ReadAll(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("abc"))), 3)
	is.True(errors.Is(err, iotest.ErrTimeout))
	is.Equal(bodyreader.ReadStart(io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(io.ErrUnexpectedEOF)), 9), "ab")
}
