package aubplacement

import (
	"github.com/auburndale/auburndale/internal/aubwire"
)

// unloadRemovedItems unloads items that the configuration no longer names, adapters
// before their models.
func (b *planBuilder) unloadRemovedItems() {
	for _, server := range b.servers {
		if server.backend.OrdersBlocked || server.backend.Draining {
			continue
		}
		for _, key := range sortedKeys(server.residents) {
			_, known := b.items[key]
			if known || server.residents[key] != aubwire.Residency_RESIDENCY_READY || b.mayHaveDependentAdapters(server, key) {
				continue
			}
			b.planUnload(server, Item{Key: key}, ReasonRemoved)
		}
	}
}

// mayHaveDependentAdapters reports whether an adapter on the backend server may need
// the model. The model of an adapter that the configuration doesn't name is unknown, so
// such an adapter may need any model.
func (b *planBuilder) mayHaveDependentAdapters(server *serverState, key Key) bool {
	if key.Adapter {
		return false
	}
	for other := range server.residents {
		adapter, known := b.items[other]
		if other.Adapter && (!known || adapter.Base == key.Name) {
			return true
		}
	}
	return false
}
