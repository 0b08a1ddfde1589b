package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// eventStreamHead begins a signed stream whose body ends with the connection.
const eventStreamHead = "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nContent-Type: text/event-stream\r\n"

// headTextEvents is the text of a whole response, which looks like one event without an id.
const headTextEvents = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

// interruptedStreams are the first two events of a stream that is broken off, in each framing.
var interruptedStreams = []struct {
	name string
	step step
}{
	{"without length, reset", endOf(eventStreamHead+"\r\n"+streamBody(1, 2), true)},
	{"without length, closed in an event", endOf(eventStreamHead+"\r\n"+streamBody(1, 2)+"id: 3\nda", false)},
	{"length, closed", endOf(eventStreamHead+"Content-Length: 900\r\n\r\n"+streamBody(1, 2), false)},
	{"chunks, closed", endOf(eventStreamHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk(streamBody(1, 2)), false)},
	{"chunks, then an error", endOf(eventStreamHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk(streamBody(1, 2))+headTextEvents, false)},
	{"without length, then an error", endOf(eventStreamHead+"\r\n"+streamBody(1, 2)+headTextEvents, false)},
	{"without length, then an error's text", endOf(eventStreamHead+"\r\n"+streamBody(1, 2)+"error: engine failed\n\n", false)},
	{"chunks, then an error event without an id", endOf(eventStreamHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk(streamBody(1, 2))+chunk("event: error\ndata: engine failed\n\n")+"0\r\n\r\n", false)},
}

// errorResponses are responses to a request that resumes a stream, none of which continues it.
func errorResponses() map[string]string {
	const errorText = "engine failed\n\n"
	out := make(map[string]string)
	for _, status := range []int{200, 201, 204, 206, 302, 400, 404, 409, 412, 421, 429, 500, 502, 503, 504} {
		head := fmt.Sprintf("HTTP/1.1 %d X\r\nSigned: s\r\nId: id1\r\nContent-Type: text/plain\r\nLocation: /elsewhere\r\n", status)
		out[fmt.Sprint(status, " with a length")] = head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(errorText), errorText)
		out[fmt.Sprint(status, " in chunks")] = head + "Transfer-Encoding: chunked\r\nTrailer: Signed\r\n\r\n" + chunk(errorText) + "0\r\nSigned: s\r\nId: id1\r\n\r\n"
		out[fmt.Sprint(status, " without length")] = head + "\r\n" + errorText
		out[fmt.Sprint(status, " without a body")] = head + "Content-Length: 0\r\n\r\n"
		out[fmt.Sprint(status, " after an informational response")] = "HTTP/1.1 102 X\r\n\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	out["not run"] = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	out["informational response only"] = "HTTP/1.1 102 X\r\nSigned: s\r\nId: id1\r\n\r\n"
	out["switching protocols"] = "HTTP/1.1 101 X\r\nSigned: s\r\nId: id1\r\nConnection: upgrade\r\n\r\n" + errorText
	out["unsigned stream"] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"
	out["unsigned stream of error events"] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: error\ndata: engine failed\n\n"
	out["no content type"] = "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nContent-Length: 0\r\n\r\n"
	out["stream of error events"] = eventStreamHead + "\r\nevent: error\ndata: engine failed\n\n"
	out["stream of error text"] = eventStreamHead + "\r\nengine failed\n\n"
	out["stream of one line of error text"] = eventStreamHead + "\r\nerror: engine failed\n\n"
	out["stream of an object"] = eventStreamHead + "\r\n{\"error\": \"engine failed\"}\n\n"
	out["stream of a whole response"] = eventStreamHead + "\r\n" + headTextEvents
	out["stream without events or length"] = eventStreamHead + "\r\n"
	return out
}

// A stream was broken off after its first events, and the endpoint where it resumed answered with an error. Callers got the
// error's text in the middle of their stream, or a stream that ended as if it were complete.
func TestErrorInResumedStreamIsNotForwarded(t *testing.T) {
	for _, first := range interruptedStreams {
		for name, second := range errorResponses() {
			t.Run(first.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				is := is.NewRelaxed(t)
				f := startFleet(t, []step{first.step}, []step{rawResponse(second)}, []step{endOf(eventStreamHead+"\r\n"+streamBody(3, 4), false)})
				f.configure(1)
				status, body, _, err := f.send("/stream/", nil)
				is.Equal(status, 200)
				is.NoErr(err)
				is.Equal(body, streamBody(1, 4))
				// Without a further endpoint, the caller sees that the stream is incomplete.
				f = startFleet(t, []step{first.step}, []step{rawResponse(second)})
				f.configure(1)
				status, body, _, err = f.send("/stream/", nil)
				is.Equal(status, 200)
				is.True(err != nil)
				is.Equal(body, streamBody(1, 2))
			})
		}
		t.Run(first.name+"/cannot resume", func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			f := startFleet(t, []step{first.step}, []step{response(500, "other")})
			f.configure(1)
			status, body, _, err := f.send("/fixed/", nil)
			is.Equal(status, 200)
			is.True(err != nil)
			is.Equal(body, streamBody(1, 2))
			is.Equal(len(f.requests()), 1)
		})
	}
}

// A response that a second endpoint gives to a resumed stream as its end is complete if it is one of the same kind.
func TestResumedStreamWithoutFurtherEventsIsComplete(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, []step{interruptedStreams[0].step}, []step{rawResponse(strings.Replace(eventStreamHead, "event-stream", "event-stream; charset=utf-8", 1) + "Content-Length: 0\r\n\r\n")})
	f.configure(1)
	status, body, _, err := f.send("/stream/", nil)
	is.Equal(status, 200)
	is.NoErr(err)
	is.Equal(body, streamBody(1, 2))
}

// An endpoint wrote the refusal of another request behind the header of a stream, where it passed for the first event.
func TestErrorBehindHeaderOfStreamIsNotForwarded(t *testing.T) {
	for name, text := range map[string]string{"response": headTextEvents, "text": "engine failed\n\n", "object": "{\"error\": \"engine failed\"}\n\n"} {
		for framing, first := range map[string]string{
			"without length": eventStreamHead + "\r\n" + text, "length": eventStreamHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text),
			"chunks": eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(text) + "0\r\n\r\n",
		} {
			t.Run(name+"/"+framing, func(t *testing.T) {
				t.Parallel()
				is := is.NewRelaxed(t)
				f := startFleet(t, []step{rawResponse(first)}, []step{endOf(eventStreamHead+"\r\n"+streamBody(1, 4), false)})
				f.configure(1)
				status, body, _, err := f.send("/stream/", nil)
				is.Equal(status, 200)
				is.NoErr(err)
				is.Equal(body, streamBody(1, 4))
				f = startFleet(t, []step{rawResponse(first)}, []step{response(500, "other")})
				f.configure(1)
				status, _, _, err = f.send("/fixed/", nil)
				is.NoErr(err)
				is.Equal(status, 502)
				is.Equal(len(f.requests()), 1)
			})
		}
	}
}
