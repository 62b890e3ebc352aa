package aubexecution

import (
	"errors"
	"io"
)

// bodyBytes is the size of one piece of a request body.
const bodyBytes = 64 << 10

// readFirst reads the first piece of a body. The rest is nil when that is all.
func readFirst(body io.Reader) (first []byte, rest io.Reader, err error) {
	if body == nil {
		return nil, nil, nil
	}
	first, last, err := readPiece(body)
	if err != nil {
		return nil, nil, err
	}
	if last {
		return first, nil, nil
	}
	return first, body, nil
}

// readPiece reads the next piece and reports whether the body ends with it.
func readPiece(body io.Reader) (piece []byte, last bool, err error) {
	piece, err = io.ReadAll(io.LimitReader(body, bodyBytes))
	if err != nil {
		return nil, false, err
	}
	if len(piece) < bodyBytes {
		return piece, true, nil
	}
	return piece, false, nil
}

// errBody says that the caller's body ended before its end.
var errBody = errors.New("request body is not whole")
