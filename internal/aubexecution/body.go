package aubexecution

import (
	"context"
	"errors"
	"io"
)

// bodyChunkBytes is the size of a chunk of a request body; only the last is shorter.
const bodyChunkBytes = 64 << 10

// readFirstChunk reads the first chunk of a body. The remaining reader is nil when
// the body ends with that chunk.
func readFirstChunk(body io.Reader) (first []byte, remaining io.Reader, err error) {
	if body == nil {
		return nil, nil, nil
	}
	first, isLast, err := readChunk(body)
	if err != nil {
		return nil, nil, err
	}
	if isLast {
		return first, nil, nil
	}
	return first, body, nil
}

// readChunk reads the next chunk and reports whether the body ends with it.
func readChunk(body io.Reader) (chunk []byte, isLast bool, err error) {
	chunk, err = io.ReadAll(io.LimitReader(body, bodyChunkBytes))
	if err != nil {
		return nil, false, err
	}
	if len(chunk) < bodyChunkBytes {
		return chunk, true, nil
	}
	return chunk, false, nil
}

// bodyChunk is one chunk of a body, or the error that ended it.
type bodyChunk struct {
	data   []byte
	isLast bool
	err    error
}

// readChunks reads the chunks of a body up to the last one, an error or the end of ctx.
func readChunks(ctx context.Context, body io.Reader) <-chan bodyChunk {
	chunks := make(chan bodyChunk)
	go func() {
		for {
			data, isLast, err := readChunk(body)
			select {
			case chunks <- bodyChunk{data: data, isLast: isLast, err: err}:
			case <-ctx.Done():
				return
			}
			if isLast || err != nil {
				return
			}
		}
	}()
	return chunks
}

// errIncompleteBody is returned when reading the request body failed before its end.
var errIncompleteBody = errors.New("request body is not whole")
