package aubregistry

import (
	"time"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// CompactPair is both ends of a stream on which only changes are sent.
type CompactPair struct {
	requests requestCompactor
	answers  responseCompactor
	mirror   recordMirror
}

// NewCompactPair returns the ends of a new stream.
func NewCompactPair() *CompactPair { return &CompactPair{mirror: make(recordMirror)} }

// Request reduces a request.
func (p *CompactPair) Request(req *aubwire.RegistryRequest, now time.Time) {
	p.requests.compact(req, now)
}

// Answer reduces an answer and returns the records that the other end takes from it.
func (p *CompactPair) Answer(resp *aubwire.RegistryResponse, now time.Time) []*aubwire.BackendRecord {
	p.answers.compact(resp, now)
	return p.mirror.expand(resp)
}
