package aubregistry

// Slots returns the number of requests that an incarnation of a backend server runs at the same
// time, as its registration says; 0 if it is not known.
func (r *Registry) Slots(id string, startedMs int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := r.entries[id]
	if stored == nil || stored.record.GetStartedMs() != startedMs {
		return 0
	}
	return int(stored.record.GetSlots())
}
