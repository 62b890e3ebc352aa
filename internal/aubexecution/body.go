package aubexecution

import (
	"errors"
	"io"
)

// bodyChunkBytes is the size of one piece of a request body.
const bodyChunkBytes = 64 << 10

// readFirstChunk reads the first piece of a body. The rest is nil when that is all.
func readFirstChunk(body io.Reader) (first []byte, remaining io.Reader, err error) {
	if body == nil {
		return nil, nil, nil
	}
	first, last, err := readChunk(body)
	if err != nil {
		return nil, nil, err
	}
	if last {
		return first, nil, nil
	}
	return first, body, nil
}

// readChunk reads the next piece and reports whether the body ends with it.
func readChunk(body io.Reader) (chunk []byte, last bool, err error) {
	chunk, err = io.ReadAll(io.LimitReader(body, bodyChunkBytes))
	if err != nil {
		return nil, false, err
	}
	if len(chunk) < bodyChunkBytes {
		return chunk, true, nil
	}
	return chunk, false, nil
}

// errIncompleteBody says that the caller's body ended before its end.
var errIncompleteBody = errors.New("request body is not whole")
