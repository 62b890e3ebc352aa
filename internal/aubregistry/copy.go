package aubregistry

import (
	"slices"

	"github.com/auburndale/auburndale/internal/aubwire"
)

// AddCopy adds a model, or an adapter of it, to the record of a backend server before its
// next registration lists them. It does nothing without a record or if the record is of
// another service.
func (r *Registry) AddCopy(id, service, model, adapter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.entries[id]
	if stored == nil || stored.record.GetService() != service {
		return
	}
	next := cloneRecord(stored.record)
	i := slices.IndexFunc(next.GetModels(), func(m *aubwire.ModelCopy) bool { return m.GetName() == model })
	if i < 0 {
		next.Models = append(next.Models, &aubwire.ModelCopy{Name: model})
		i = len(next.Models) - 1
	}
	if adapter != "" && !slices.Contains(next.GetModels()[i].GetAdapters(), adapter) {
		next.Models[i].Adapters = append(next.Models[i].Adapters, adapter)
	}
	stored.record = next
	r.topologyVersion++
}

// DropCopy removes an adapter, or the model if adapter is empty, from the record of a
// backend server until its next registration.
func (r *Registry) DropCopy(id, model, adapter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.entries[id]
	if stored == nil {
		return
	}
	next := cloneRecord(stored.record)
	for i, m := range next.GetModels() {
		if m.GetName() != model {
			continue
		}
		if adapter == "" {
			next.Models = slices.Delete(next.Models, i, i+1)
			break
		}
		m.Adapters = slices.DeleteFunc(m.Adapters, func(name string) bool { return name == adapter })
	}
	stored.record = next
	r.topologyVersion++
}
