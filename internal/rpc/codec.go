package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes limits one message. A manifest may have 16 MiB.
const maxMessageBytes = 32 << 20

// MessageSizeError reports a message that exceeds the maximum size.
type MessageSizeError struct {
	// Size and Limit are the announced and the maximum size in bytes.
	Size, Limit uint64
}

// Error names both sizes.
func (e *MessageSizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds %d bytes", e.Size, e.Limit)
}

// limitedCodec is a codec of length-prefixed messages that limits their size. The connection is closed after a message
// that is too large.
type limitedCodec struct {
	jsonrpc2.VarintObjectCodec
}

// ReadObject reads one message.
func (limitedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return &MessageSizeError{Size: size, Limit: maxMessageBytes}
	}
	return json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(v)
}
