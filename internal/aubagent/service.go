package aubagent

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/auburndale/auburndale/internal/aubengine"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// errUnbounded says that an answer has no end mark at all.
var errUnbounded = errors.New("answer has neither a length nor an end mark")

// serviceCall is one request to a plain service.
type serviceCall struct{ backendCall }

var _ runner = (*serviceCall)(nil)

func (s *serviceCall) run() *failure {
	resp, err := s.agent.client.Do(s.x.ctx, s.call())
	if err != nil {
		return s.diagnose(err)
	}
	defer resp.Body.Close()
	if err := s.relay(resp); err != nil {
		return s.diagnose(err)
	}
	return nil
}

func (s *serviceCall) relay(resp *http.Response) error {
	if err := s.check(resp); err != nil {
		return err
	}
	if !bounded(resp) {
		return errUnbounded
	}
	if err := s.sendHead(resp); err != nil {
		return err
	}
	for {
		piece := make([]byte, pieceBytes)
		n, err := resp.Body.Read(piece)
		if n > 0 {
			if err := s.sendData(piece[:n], 0); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			s.sendEnd(&aubwire.FrameEnd{Trailers: fromHeader(resp.Trailer)})
			return nil
		}
		if err != nil {
			return errors.Join(aubengine.ErrIncomplete, err)
		}
	}
}

// bounded reports whether the end of the body can be told from a cut.
func bounded(resp *http.Response) bool {
	return resp.ContentLength >= 0 || resp.Body == http.NoBody || slices.Contains(resp.TransferEncoding, "chunked")
}
