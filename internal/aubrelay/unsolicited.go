package aubrelay

import (
	"net/http"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// unsolicitedOutcome is what became of a response that belongs to no request of its connection.
type unsolicitedOutcome string

const (
	// unsolicitedClosed means that no request awaited a response and the connection was closed.
	unsolicitedClosed unsolicitedOutcome = "connection_closed"
	// unsolicitedFailed means that it came in the place of the response to another request, which
	// failed.
	unsolicitedFailed unsolicitedOutcome = "request_failed"
	// unsolicitedSkipped means that it came before the response to another request, which was awaited.
	unsolicitedSkipped unsolicitedOutcome = "skipped"
)

// unsolicitedPrefixBytes limits what a log line shows of unsolicited bytes.
const unsolicitedPrefixBytes = 64

// unsolicitedResponse are bytes of a backend server that belong to no request of their connection.
type unsolicitedResponse struct {
	outcome unsolicitedOutcome
	// status and header are zero if the bytes are no response.
	status int
	header http.Header
	// awaited is the id of the request whose response was expected; empty if none was.
	awaited string
	// start holds the first bytes, if they were not read as a response.
	start []byte
}

// unsolicitedLog logs and counts unsolicited responses.
type unsolicitedLog struct {
	log      *zap.Logger
	protocol Protocol
	counters map[unsolicitedOutcome]tally.Counter
}

func newUnsolicitedLog(common aubcommon.Common, protocol Protocol) *unsolicitedLog {
	l := &unsolicitedLog{log: common.Log, protocol: protocol, counters: make(map[unsolicitedOutcome]tally.Counter)}
	for _, outcome := range []unsolicitedOutcome{unsolicitedClosed, unsolicitedFailed, unsolicitedSkipped} {
		l.counters[outcome] = common.Metrics.Tagged(map[string]string{"outcome": string(outcome)}).Counter("unsolicited_responses")
	}
	return l
}

// record logs and counts bytes that were received on the connection.
func (l *unsolicitedLog) record(conn *backendConn, r unsolicitedResponse) {
	l.counters[r.outcome].Inc(1)
	l.log.Warn("Response belongs to no request.",
		zap.String("backend_server", conn.backendID),
		zap.String("address", conn.address),
		zap.String("request_id", l.protocol.DecodeResponse(r.status, r.header).CallID),
		zap.String("awaited", r.awaited),
		zap.Int("status", r.status),
		zap.ByteString("start", r.start[:min(len(r.start), unsolicitedPrefixBytes)]),
		zap.String("outcome", string(r.outcome)))
}
