package aubprocess

import (
	"sync"

	"github.com/auburndale/auburndale/internal/aubroute"
	"github.com/auburndale/auburndale/internal/aubwire"
)

// peerLoads is the work that other relays have in flight, by backend server.
//
// Lock order: mu is taken alone.
type peerLoads struct {
	mu    sync.Mutex
	loads map[string]aubroute.PeerLoad
}

func (p *peerLoads) set(loads []*aubwire.BackendLoad) {
	next := make(map[string]aubroute.PeerLoad, len(loads))
	for _, load := range loads {
		next[load.GetId()] = aubroute.PeerLoad{Requests: int(load.GetInFlight()), PrefillTokens: load.GetPrefillTokens()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads = next
}

func (p *peerLoads) load(backend string) aubroute.PeerLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loads[backend]
}
