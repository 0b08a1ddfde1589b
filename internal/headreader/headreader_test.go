package headreader_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/headchecker"
	"github.com/nutmegdock/nutmegdock/internal/headreader"
	"github.com/nutmegdock/nutmegdock/internal/headtest"
)

// readFinal reads the final response from a source, and its body.
func readFinal(source io.Reader) (string, error) {
	r := headreader.Reader{Source: source}
	r.Expect()
	br := bufio.NewReader(&r)
	for {
		resp, err := http.ReadResponse(br, nil)
		if refusal := r.Refusal(); refusal != nil {
			return "", refusal
		}
		if err != nil {
			return "", err
		}
		if resp.StatusCode >= http.StatusOK {
			body, err := io.ReadAll(resp.Body)
			return string(body), headchecker.CheckEnd(resp.Trailer, err)
		}
	}
}

// The result does not depend on the pieces in which a response arrives.
func TestResponsesInPieces(t *testing.T) {
	for name, split := range map[string]func(io.Reader) io.Reader{
		"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader, "end with data": iotest.DataErrReader,
	} {
		for _, form := range headtest.Sound {
			t.Run(name+", "+form.Name, func(t *testing.T) {
				is := is.New(t)
				body, err := readFinal(split(strings.NewReader(form.Text("X: y\r\n", "body"))))
				is.NoErr(err)
				is.Equal(body, "body")
			})
		}
		for _, form := range headtest.Broken {
			t.Run(name+", "+form.Name, func(t *testing.T) {
				body, err := readFinal(split(strings.NewReader(form.Text("X: y\r\n", "body"))))
				if err == nil {
					t.Errorf("read body %q", body)
				}
			})
		}
	}
}

// A head is refused at its first line that is not valid, and not when its end has arrived.
func TestBrokenLineIsRefusedAtOnce(t *testing.T) {
	for text, part := range map[string]headchecker.Part{
		"HTTP/1.1 000 X\r\n": headchecker.Status, "HTTP/1.1 200 OK\r\nX Y: z\r\n": headchecker.Name, "HTTP/1.1 103 X\r\nContent-Length: 0\r\n\r\nICY\n": headchecker.Version,
	} {
		is := is.New(t)
		_, err := readFinal(io.MultiReader(strings.NewReader(text), iotest.ErrReader(errors.New("read on"))))
		var headErr *headchecker.Error
		is.True(errors.As(err, &headErr))
		is.Equal(headErr.Part, part)
	}
}

func TestHeadWithoutEndIsBounded(t *testing.T) {
	for _, unit := range []string{"x", "A: x\r\n"} {
		is := is.New(t)
		_, err := readFinal(strings.NewReader("HTTP/1.1 200 OK\r\nA: " + strings.Repeat(unit, 2*headreader.MaxHeadBytes)))
		var sizeErr *headreader.SizeError
		is.True(errors.As(err, &sizeErr))
	}
}
