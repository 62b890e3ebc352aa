package aubsite

import (
	"github.com/klauspost/compress/zstd"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// maxDocumentBytes limits the size of a decompressed document.
const maxDocumentBytes = 64 << 20

// NewRevision returns a revision with the document compressed. Documents consist mostly
// of routes that resemble each other. The error is *DocumentError.
func NewRevision(number uint64, document []byte) (*aubwire.SiteRevision, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, &DocumentError{Number: number, Err: err}
	}
	return &aubwire.SiteRevision{
		Number:   number,
		Document: encoder.EncodeAll(document, nil),
		Encoding: aubwire.DocumentEncoding_DOCUMENT_ENCODING_ZSTD,
	}, nil
}

// Document returns the document of a revision as the operator sent it. The error is
// *DocumentError.
func Document(revision *aubwire.SiteRevision) ([]byte, error) {
	if revision.GetEncoding() == aubwire.DocumentEncoding_DOCUMENT_ENCODING_UNSPECIFIED {
		return revision.GetDocument(), nil
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDocumentBytes))
	if err != nil {
		return nil, &DocumentError{Number: revision.GetNumber(), Err: err}
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(revision.GetDocument(), nil)
	if err != nil {
		return nil, &DocumentError{Number: revision.GetNumber(), Err: err}
	}
	return document, nil
}
