package aubregistry

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// supersedes reports whether the record is newer than the stored one. A later start is
// newer than any sequence of an earlier one.
func supersedes(record, stored *aubwire.BackendRecord) bool {
	if record.GetStartedMs() != stored.GetStartedMs() {
		return record.GetStartedMs() > stored.GetStartedMs()
	}
	return record.GetSequence() > stored.GetSequence()
}

func cloneRecord(record *aubwire.BackendRecord) *aubwire.BackendRecord {
	return proto.CloneOf(record)
}

// ModelName returns the name of a service's model in the router.
func ModelName(service, model string) string { return service + "/" + model }

// AdapterName returns the name of an adapter of a service's model in the router.
func AdapterName(service, model, adapter string) string {
	return ModelName(service, model) + "/" + adapter
}

// announcementOf converts a record to an announcement, the form that the router uses.
func announcementOf(record *aubwire.BackendRecord) *aubwire.Announcement {
	announcement := &aubwire.Announcement{
		Name:        record.GetId(),
		Role:        aubwire.Role_ROLE_AGENT,
		Zone:        record.GetZone(),
		Address:     record.GetAddress(),
		Incarnation: uint64(record.GetStartedMs()),
		Sequence:    uint64(record.GetSequence()),
		Leaving:     record.GetState() != aubwire.BackendState_BACKEND_STATE_READY,
		Backend:     &aubwire.BackendReport{Services: []string{record.GetService()}, Software: record.GetSoftware()},
	}
	for _, m := range record.GetModels() {
		state := aubwire.Residency_RESIDENCY_READY
		if slices.Contains(record.GetUnloading(), m.GetName()) {
			state = aubwire.Residency_RESIDENCY_UNLOADING
		}
		announcement.Backend.Engine = true
		announcement.Backend.Resident = append(announcement.Backend.Resident,
			&aubwire.Resident{Name: ModelName(record.GetService(), m.GetName()), State: state})
		for _, adapter := range m.GetAdapters() {
			announcement.Backend.Resident = append(announcement.Backend.Resident, &aubwire.Resident{
				Name: AdapterName(record.GetService(), m.GetName(), adapter), Adapter: true, State: state,
			})
		}
	}
	return announcement
}

// sameTopology reports whether two records are equal in all fields that routing needs.
func sameTopology(a, b *aubwire.BackendRecord) bool {
	return a != nil && a.GetState() == b.GetState() && a.GetStartedMs() == b.GetStartedMs() &&
		a.GetAddress() == b.GetAddress() && a.GetService() == b.GetService() && a.GetSoftware() == b.GetSoftware() &&
		!isColdChange(a, b) && (a.GetUnconfirmedMs() > 0) == (b.GetUnconfirmedMs() > 0) && slices.Equal(a.GetUnloading(), b.GetUnloading()) &&
		slices.EqualFunc(a.GetModels(), b.GetModels(), func(x, y *aubwire.ModelCopy) bool { return proto.Equal(x, y) })
}
