package aubregistry

import (
	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// KnowServices sets a function that reports whether the configuration names a service. Other writers
// may leave registrations for services that it doesn't name; these never displace a backend server of
// one that it names. The function is called with the registry's lock held.
func (r *Registry) KnowServices(isService func(name string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isService = isService
}

// NamesService reports whether the configuration names the service, or is not known.
func (r *Registry) NamesService(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isService == nil || r.isService(name)
}

// isNamed reports whether the record is of a service that the configuration names, or that is not
// known; the caller holds mu.
func (r *Registry) isNamed(record *aubwire.BackendRecord) bool {
	return r.isService == nil || r.isService(record.GetService())
}

// outranks reports whether only the record, and not the stored one, is of a service that the
// configuration names; the caller holds mu.
func (r *Registry) outranks(record, stored *aubwire.BackendRecord) bool {
	return r.isNamed(record) && !r.isNamed(stored)
}

// displacesNamed reports whether a record of a service that the configuration doesn't name has the id
// or the address of a backend server that is in use; stored is the entry with its id, or nil. The caller
// holds mu.
func (r *Registry) displacesNamed(record *aubwire.BackendRecord, stored *entry) bool {
	if record.GetService() == "" || r.isNamed(record) {
		return false
	}
	if stored != nil && r.isPresent(stored) && r.isNamed(stored.record) {
		return true
	}
	for _, other := range r.entries {
		if other.record.GetAddress() == record.GetAddress() && r.isPresent(other) && r.isNamed(other.record) {
			return true
		}
	}
	return false
}

// lacksStart reports whether the record is of a backend server that is not known and states no start,
// although others of its service state theirs; stored is the entry with its id, or nil. It notes the
// services whose backend servers do. The caller holds mu.
func (r *Registry) lacksStart(record *aubwire.BackendRecord, stored *entry) bool {
	service := record.GetService()
	if service == "" || !r.isNamed(record) {
		return false
	}
	if record.GetStartedMs() != 0 {
		r.statesStart[service] = true
		return false
	}
	return r.statesStart[service] && (stored == nil || stored.record.GetStartedMs() != 0)
}

// logIgnored logs a registration that this process received directly and ignores.
func (r *Registry) logIgnored(record *aubwire.BackendRecord, isLocal bool) {
	if !isLocal {
		return
	}
	r.common.Log.Warn("Registration ignored: it is for an unknown service and bears the id or address of a backend server in use, or it lacks a start.",
		zap.String("backend_server", record.GetId()), zap.String("service", record.GetService()), zap.String("address", record.GetAddress()),
		zap.Int64("started_ms", record.GetStartedMs()), zap.Int64("sequence", record.GetSequence()))
}
