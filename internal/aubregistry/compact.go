package aubregistry

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// completeInterval is the time between two complete reports or answers of a stream on which
// otherwise only changes are sent. Streams are ordered and lose nothing; it limits how long a
// fault in the changes lasts.
const completeInterval = 2 * time.Second

// requestCompactor reduces the requests of one stream to what changed. Only the sending
// goroutine uses it, so that it sees what is sent, and not what another request replaced.
type requestCompactor struct {
	// completeAt is when the last complete report was sent; zero before the first.
	completeAt time.Time
	hasSent    bool
	loads      map[string]*aubwire.BackendLoad
	models     map[ModelKey]ModelCount
	streams    map[engineKey]*aubwire.EngineStreams
}

// engineKey identifies an incarnation of an engine.
type engineKey struct {
	id        string
	startedMs int64
}

// compact removes from a request what the control process knows. It does nothing unless the
// request asks for compact answers.
func (c *requestCompactor) compact(req *aubwire.RegistryRequest, now time.Time) {
	if c.hasSent && req.GetCompact() {
		req.Process, req.Relay, req.LoadAddress = "", false, ""
	}
	c.hasSent = true
	report := req.GetReport()
	switch {
	case !req.GetCompact():
		c.completeAt = time.Time{}
	case report == nil:
	case c.completeAt.IsZero() || now.Sub(c.completeAt) >= completeInterval:
		c.completeAt = now
		c.reset()
		c.reduce(proto.CloneOf(report))
	default:
		report.ChangesOnly = true
		c.reduce(report)
	}
}

func (c *requestCompactor) reset() {
	c.loads, c.models, c.streams = make(map[string]*aubwire.BackendLoad), make(map[ModelKey]ModelCount), make(map[engineKey]*aubwire.EngineStreams)
}

// reduce removes what was sent before from a report, and adds zero loads for those that ended.
func (c *requestCompactor) reduce(report *aubwire.LoadReport) {
	isPresent := make(map[string]bool, len(report.GetLoads()))
	report.Loads = slices.DeleteFunc(report.GetLoads(), func(load *aubwire.BackendLoad) bool {
		isPresent[load.GetId()] = true
		known := c.loads[load.GetId()]
		c.loads[load.GetId()] = load
		return known != nil && proto.Equal(known, load)
	})
	for id := range c.loads {
		if !isPresent[id] {
			report.Loads = append(report.Loads, &aubwire.BackendLoad{Id: id})
			delete(c.loads, id)
		}
	}
	report.Models = slices.DeleteFunc(report.GetModels(), func(m *aubwire.ModelUse) bool {
		key, count := ModelKey{Model: m.GetModel(), Adapter: m.GetAdapter()}, ModelCount{Requests: m.GetRequests(), Tokens: m.GetTokens()}
		known, isKnown := c.models[key]
		c.models[key] = count
		return isKnown && known == count
	})
	report.EngineStreams = slices.DeleteFunc(report.GetEngineStreams(), func(e *aubwire.EngineStreams) bool {
		key := engineKey{id: e.GetId(), startedMs: e.GetStartedMs()}
		known := c.streams[key]
		c.streams[key] = e
		return known != nil && proto.Equal(known, e)
	})
}

// applyLoads returns the loads after a report.
func applyLoads(loads []*aubwire.BackendLoad, report *aubwire.LoadReport) []*aubwire.BackendLoad {
	if !report.GetChangesOnly() {
		return report.GetLoads()
	}
	changed := make(map[string]bool, len(report.GetLoads()))
	for _, load := range report.GetLoads() {
		changed[load.GetId()] = true
	}
	next := make([]*aubwire.BackendLoad, 0, len(loads)+len(report.GetLoads()))
	for _, load := range loads {
		if !changed[load.GetId()] {
			next = append(next, load)
		}
	}
	for _, load := range report.GetLoads() {
		if load.GetInFlight() != 0 || load.GetPrefillTokens() != 0 {
			next = append(next, load)
		}
	}
	return next
}

// responseCompactor reduces the answers of one stream to what changed. Only the sending
// goroutine uses it.
type responseCompactor struct {
	records    map[string]*aubwire.BackendRecord
	completeAt time.Time
	addresses  []string
	peers      *aubwire.Peers
}

// compact removes from an answer what the watching process has received. A record that differs
// only in its sequence becomes a renewal.
func (c *responseCompactor) compact(resp *aubwire.RegistryResponse, now time.Time) {
	if c.records == nil {
		c.records = make(map[string]*aubwire.BackendRecord)
	}
	resp.Records = slices.DeleteFunc(resp.GetRecords(), func(record *aubwire.BackendRecord) bool {
		known := c.records[record.GetId()]
		c.records[record.GetId()] = record
		if known == nil || record.GetColdRemainingMs() != 0 || !equalsButSequence(known, record) {
			return false
		}
		resp.Renewals = append(resp.Renewals, &aubwire.Renewal{Id: record.GetId(), Sequence: record.GetSequence()})
		return true
	})
	if resp.GetZone() == "" && len(resp.GetControlAddresses()) == 0 {
		// The answer is not a periodic one.
		return
	}
	if now.Sub(c.completeAt) >= completeInterval {
		c.completeAt, c.addresses, c.peers = now, nil, nil
	}
	addresses := slices.Clone(resp.GetControlAddresses())
	slices.Sort(addresses)
	if c.addresses != nil && slices.Equal(c.addresses, addresses) {
		resp.ControlAddresses, resp.Zone = nil, ""
	}
	c.addresses = addresses
	peers := resp.GetPeers()
	slices.Sort(peers.GetLoadAddresses())
	if c.peers != nil && proto.Equal(c.peers, peers) {
		resp.Peers = nil
	}
	c.peers = peers
}

// reset forgets what was sent, for a process that no longer accepts compact answers.
func (c *responseCompactor) reset() { *c = responseCompactor{} }

// equalsButSequence reports whether two records differ at most in their sequences.
func equalsButSequence(a, b *aubwire.BackendRecord) bool {
	if a.GetStartedMs() != b.GetStartedMs() || a.GetState() != b.GetState() || a.GetColdRemainingMs() != b.GetColdRemainingMs() {
		return false
	}
	other := proto.CloneOf(b)
	other.Sequence = a.GetSequence()
	return proto.Equal(a, other)
}

// recordMirror holds the records as a control process last sent them on one stream.
type recordMirror map[string]*aubwire.BackendRecord

// expand returns the records of an answer with those that its renewals stand for.
func (m recordMirror) expand(resp *aubwire.RegistryResponse) []*aubwire.BackendRecord {
	records := resp.GetRecords()
	for _, record := range records {
		m[record.GetId()] = record
	}
	for _, renewal := range resp.GetRenewals() {
		known := m[renewal.GetId()]
		if known == nil {
			continue
		}
		record := proto.CloneOf(known)
		record.Sequence = renewal.GetSequence()
		m[renewal.GetId()] = record
		records = append(records, record)
	}
	return records
}
