package aubmembership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// maxItemOverheadBytes is the maximum size of the tag and length of one embedded
	// message.
	maxItemOverheadBytes = 4
	// numberFieldsBytes is the maximum size of the part and page numbers, which are
	// set after the size of a part was computed.
	numberFieldsBytes = 24
)

// digestOf returns a hash of a list of residents; 0 stands for the empty list.
func digestOf(residents []*aubwire.Resident) uint64 {
	if len(residents) == 0 {
		return 0
	}
	hash := xxhash.New()
	var fields [9]byte
	for _, r := range residents {
		_, _ = hash.WriteString(r.GetName())
		binary.LittleEndian.PutUint64(fields[:], uint64(r.GetState()))
		fields[8] = 0
		if r.GetAdapter() {
			fields[8] = 1
		}
		_, _ = hash.Write(fields[:])
	}
	return max(hash.Sum64(), 1)
}

// headsOf splits an announcement into heads that each fit a datagram. They hold
// the digest of the residents instead of the list. The demand rows are distributed
// over them.
func headsOf(a *aubwire.Announcement) []*aubwire.Announcement {
	base := headOf(a, digestOf(a.GetBackend().GetResident()))
	first := cloneHead(base)
	heads := []*aubwire.Announcement{first}
	size := proto.Size(base) + numberFieldsBytes
	for _, d := range a.GetDemand() {
		n := proto.Size(d) + maxItemOverheadBytes
		if size+n > maxPayloadBytes {
			next := cloneHead(base)
			next.Part = uint32(len(heads))
			heads = append(heads, next)
			size = proto.Size(base) + numberFieldsBytes
		}
		size += n
		last := heads[len(heads)-1]
		last.Demand = append(last.Demand, d)
	}
	return heads
}

// pagesOf splits the residents of an announcement into pages that each fit a
// datagram.
func pagesOf(a *aubwire.Announcement) []*aubwire.Announcement {
	residents := a.GetBackend().GetResident()
	digest := digestOf(residents)
	var (
		pages []*aubwire.Announcement
		size  int
	)
	for _, r := range residents {
		n := proto.Size(r) + maxItemOverheadBytes
		if len(pages) == 0 || size+n > maxPayloadBytes {
			page := &aubwire.Announcement{
				Name: a.GetName(), Incarnation: a.GetIncarnation(),
				ResidentDigest: digest, ResidentPage: uint32(len(pages)),
				Backend: &aubwire.BackendReport{},
			}
			pages = append(pages, page)
			size = proto.Size(page) + numberFieldsBytes
		}
		size += n
		last := pages[len(pages)-1]
		last.Backend.Resident = append(last.Backend.Resident, r)
	}
	for _, page := range pages {
		page.ResidentPages = uint32(len(pages))
	}
	return pages
}

// headOf copies an announcement without its demand and residents and sets the
// resident digest.
func headOf(a *aubwire.Announcement, digest uint64) *aubwire.Announcement {
	head := &aubwire.Announcement{
		Name: a.GetName(), Role: a.GetRole(), Zone: a.GetZone(), Address: a.GetAddress(),
		Incarnation: a.GetIncarnation(), Sequence: a.GetSequence(), Leaving: a.GetLeaving(),
		ConfigVersion: a.GetConfigVersion(), ResidentDigest: digest,
	}
	if b := a.GetBackend(); b != nil {
		head.Backend = &aubwire.BackendReport{
			Engine: b.GetEngine(), Services: b.GetServices(),
			MemoryBytes: b.GetMemoryBytes(), MemoryUsedBytes: b.GetMemoryUsedBytes(),
			Running: b.GetRunning(), Queued: b.GetQueued(), QueuedTokens: b.GetQueuedTokens(),
			PrefillRate: b.GetPrefillRate(), DecodeRate: b.GetDecodeRate(),
			Fence: b.GetFence(), Loading: b.GetLoading(),
		}
	}
	return head
}

// cloneHead copies an announcement without its demand and residents and keeps the
// resident digest.
func cloneHead(a *aubwire.Announcement) *aubwire.Announcement {
	return headOf(a, a.GetResidentDigest())
}

// pack fills datagrams with announcements, in order. An announcement that does not
// fit a datagram is left out.
func pack(announcements []*aubwire.Announcement) []*aubwire.Datagram {
	var (
		packed []*aubwire.Datagram
		size   int
	)
	for _, a := range announcements {
		n := proto.Size(a) + maxItemOverheadBytes
		if n > maxPayloadBytes {
			continue
		}
		if len(packed) == 0 || size+n > maxPayloadBytes {
			packed = append(packed, &aubwire.Datagram{})
			size = maxItemOverheadBytes
		}
		size += n
		last := packed[len(packed)-1]
		last.Announcements = append(last.Announcements, a)
	}
	return packed
}
