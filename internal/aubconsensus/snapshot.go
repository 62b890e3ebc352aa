package aubconsensus

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const maxSnapshotBytes = 256 << 20

var errNoAppliedTerm = errors.New("the term of the last applied entry is unknown")

// outgoingSnapshot is a snapshot that is sent to a member one chunk at a time.
type outgoingSnapshot struct {
	index    uint64
	term     uint64
	data     []byte
	checksum uint64
	offset   uint64
	sentAt   time.Time
}

// incomingSnapshot collects the chunks of one received snapshot.
type incomingSnapshot struct {
	index    uint64
	checksum uint64
	total    uint64
	data     []byte
}

// ExportSnapshot returns a snapshot of the applied state, for a restore
// elsewhere.
func (n *Node) ExportSnapshot(ctx context.Context) (*aubwire.LogSnapshot, error) {
	var snap *aubwire.LogSnapshot
	var snapErr error
	if err := n.call(ctx, func() { snap, snapErr = n.snapshotAppliedState() }); err != nil {
		return nil, err
	}
	return snap, snapErr
}

func (n *Node) snapshotAppliedState() (*aubwire.LogSnapshot, error) {
	term, ok := n.log.term(n.applied)
	if !ok {
		return nil, errNoAppliedTerm
	}
	data, err := n.opts.Machine.Snapshot()
	if err != nil {
		return nil, err
	}
	return &aubwire.LogSnapshot{
		Index:      n.applied,
		Term:       term,
		Membership: n.log.membershipAt(n.applied).wire,
		Data:       data,
	}, nil
}

// compactIfDue replaces applied entries by a snapshot of the machine once there
// are enough of them.
func (n *Node) compactIfDue() {
	if n.Err() != nil {
		return
	}
	isEntryLimitReached := n.applied-n.log.snapIndex >= n.opts.SnapshotEntries
	if !isEntryLimitReached && n.appliedBytes < n.opts.SnapshotBytes {
		return
	}
	snap, err := n.snapshotAppliedState()
	if err != nil {
		n.stop(err)
		return
	}
	n.appliedBytes = 0
	n.log.compact(snap, n.opts.KeepEntries, n.opts.KeepBytes)
}

// sendSnapshotChunk sends the next chunk, or sends one again that got no
// response within an election timeout.
func (n *Node) sendSnapshotChunk(id string, p *progress) {
	outgoing := p.snapshot
	if outgoing == nil {
		if outgoing = n.loadOutgoingSnapshot(); outgoing == nil {
			return
		}
		p.snapshot = outgoing
	}
	if n.now().Sub(outgoing.sentAt) < n.opts.ElectionTimeout {
		return
	}
	outgoing.sentAt = n.now()
	end := min(outgoing.offset+snapshotChunkBytes, uint64(len(outgoing.data)))
	n.sendToMember(id, &aubwire.ConsensusMessage{Body: &aubwire.ConsensusMessage_Snapshot{
		Snapshot: &aubwire.SnapshotChunk{
			Index:        outgoing.index,
			SnapshotTerm: outgoing.term,
			Offset:       outgoing.offset,
			Data:         outgoing.data[outgoing.offset:end],
			Total:        uint64(len(outgoing.data)),
			Checksum:     outgoing.checksum,
			Round:        n.leadership.round,
			SentAtNs:     int64(n.now().Sub(n.leadership.electedAt)),
		},
	}})
}

func (n *Node) loadOutgoingSnapshot() *outgoingSnapshot {
	snap, err := n.opts.Disk.LoadSnapshot()
	if err != nil {
		n.stop(err)
		return nil
	}
	data, err := proto.Marshal(snap)
	if err != nil {
		n.stop(err)
		return nil
	}
	return &outgoingSnapshot{
		index:    snap.GetIndex(),
		term:     snap.GetTerm(),
		data:     data,
		checksum: xxhash.Sum64(data),
	}
}

func (n *Node) stepSnapshotResponse(m *aubwire.ConsensusMessage, resp *aubwire.SnapshotResponse) {
	if n.leadership == nil {
		return
	}
	p, ok := n.leadership.progress[m.GetFrom()]
	if !ok {
		return
	}
	n.recordResponse(p, resp.GetRound(), resp.GetSentAtNs())
	if resp.GetInstalled() {
		p.match = max(p.match, resp.GetIndex())
		p.next = max(p.next, p.match+1)
		p.snapshot = nil
		n.promoteIfCaughtUp(m.GetFrom(), p)
		n.sendAppend(m.GetFrom(), p)
		return
	}
	outgoing := p.snapshot
	if outgoing == nil || outgoing.index != resp.GetIndex() || resp.GetOffset() > uint64(len(outgoing.data)) {
		return
	}
	if resp.GetOffset() == outgoing.offset {
		return
	}
	outgoing.offset = resp.GetOffset()
	outgoing.sentAt = time.Time{}
	n.sendSnapshotChunk(m.GetFrom(), p)
}

// stepSnapshot stores one chunk and installs the snapshot once it is complete.
func (n *Node) stepSnapshot(m *aubwire.ConsensusMessage, chunk *aubwire.SnapshotChunk) {
	resp := &aubwire.SnapshotResponse{Index: chunk.GetIndex(), Round: chunk.GetRound(), SentAtNs: chunk.GetSentAtNs()}
	defer func() {
		n.respond(m, &aubwire.ConsensusMessage{Body: &aubwire.ConsensusMessage_SnapshotResponse{SnapshotResponse: resp}})
	}()
	if n.coversSnapshot(chunk) {
		resp.Installed = true
		return
	}
	if chunk.GetTotal() > maxSnapshotBytes {
		n.common.Log.Error("Received snapshot is too large.", zap.Uint64("bytes", chunk.GetTotal()))
		return
	}
	incoming := n.incomingSnapshot
	if incoming == nil || incoming.index != chunk.GetIndex() || incoming.checksum != chunk.GetChecksum() {
		incoming = &incomingSnapshot{index: chunk.GetIndex(), checksum: chunk.GetChecksum(), total: chunk.GetTotal()}
		n.incomingSnapshot = incoming
	}
	if chunk.GetOffset() == uint64(len(incoming.data)) {
		incoming.data = append(incoming.data, chunk.GetData()...)
	}
	resp.Offset = uint64(len(incoming.data))
	if resp.GetOffset() < incoming.total {
		return
	}
	n.incomingSnapshot = nil
	resp.Offset = 0
	resp.Installed = n.installSnapshot(incoming)
}

// coversSnapshot reports whether the log holds everything in the snapshot; the
// entries are then committed. Entries beyond the snapshot may be acknowledged
// already, so the snapshot must not replace them.
func (n *Node) coversSnapshot(chunk *aubwire.SnapshotChunk) bool {
	if chunk.GetIndex() <= n.commit {
		return true
	}
	term, ok := n.log.term(chunk.GetIndex())
	if !ok || term != chunk.GetSnapshotTerm() {
		return false
	}
	n.commit = chunk.GetIndex()
	return true
}

func (n *Node) installSnapshot(incoming *incomingSnapshot) bool {
	snap := &aubwire.LogSnapshot{}
	if xxhash.Sum64(incoming.data) != incoming.checksum || proto.Unmarshal(incoming.data, snap) != nil {
		n.common.Log.Warn("Received snapshot is damaged.")
		return false
	}
	n.log.replace(snap)
	n.commit = snap.GetIndex()
	n.pendingInstall = snap
	n.failSkippedProposals(snap.GetIndex())
	n.common.Log.Info("Snapshot installed.", zap.Uint64("index", snap.GetIndex()))
	return true
}
