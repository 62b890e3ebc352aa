package aubplacement

import (
	"github.com/auburndale/auburndale/internal/aubwire"
)

// discard unloads what the configuration no longer names, adapters before their
// models.
func (b *board) discard() {
	for _, sl := range b.backends {
		if sl.backend.Busy || sl.backend.Leaving {
			continue
		}
		for _, key := range sortedKeys(sl.residents) {
			_, known := b.items[key]
			if known || sl.residents[key] != aubwire.Residency_RESIDENCY_READY || b.adaptersAbove(sl, key) {
				continue
			}
			b.unload(sl, Item{Key: key}, ReasonRemoved)
		}
	}
}

// adaptersAbove reports whether an adapter on the backend server may need the
// model. Of adapters that the configuration doesn't name, any may.
func (b *board) adaptersAbove(sl *slot, key Key) bool {
	if key.Adapter {
		return false
	}
	for other := range sl.residents {
		adapter, known := b.items[other]
		if other.Adapter && (!known || adapter.Base == key.Name) {
			return true
		}
	}
	return false
}
