package aubconsensus_test

import (
	"context"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubconsensus"
	"github.com/auburndale/auburndale/internal/aubstore"
	"github.com/auburndale/auburndale/internal/aubtimer"
)

const (
	// diskBytes is the smallest disk of a control process. Opening a store takes up to twice its size.
	diskBytes = 64 << 20
	// largeCommands commands of largeCommandBytes are as many changes of a long route list.
	largeCommands     = 260
	largeCommandBytes = 100 << 10
)

// newestMachine holds the newest command.
type newestMachine struct {
	mu     sync.Mutex
	newest []byte
}

func (m *newestMachine) Apply(_ uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest = data
	return nil
}

func (m *newestMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest, nil
}

func (m *newestMachine) Restore(data []byte) error {
	m.Apply(0, data)
	return nil
}

func (m *newestMachine) Elected(time.Time) {}

// runReplica runs a cluster of one replica on the folder until use returns.
func runReplica(t *testing.T, dir string, use func(node *aubconsensus.Node)) (opened int64) {
	common := aubcommon.NewCommon(aubtimer.NewReal())
	store, err := aubstore.Open(common, aubstore.Opts{DataDir: dir, Member: "a"})
	qt.Assert(t, err, qt.IsNil)
	opened = folderBytes(t, dir)
	ctx, cancel := context.WithCancel(t.Context())
	node, err := aubconsensus.NewNode(ctx, common, aubconsensus.Opts{
		Self: aubconsensus.Peer{Name: "a", Address: "a"}, Voters: []aubconsensus.Peer{{Name: "a", Address: "a"}}, Disk: store,
		Transport: endpoint{network: newFakeNetwork(1), self: "a"}, Machine: &newestMachine{}, ElectionTimeout: electionTimeout, Heartbeat: heartbeat,
	})
	qt.Assert(t, err, qt.IsNil)
	use(node)
	cancel()
	<-node.Done()
	qt.Assert(t, store.Close(), qt.IsNil)
	return opened
}

// folderBytes returns the size of all files in the folder.
func folderBytes(t *testing.T, dir string) (size int64) {
	err := filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		size += info.Size()
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	return size
}

// TestStoreOfLargeCommandsFitsItsDiskTwice guards against a store that grows with the size of the
// commands that it keeps for slow followers, until no process can open it.
func TestStoreOfLargeCommandsFitsItsDiskTwice(t *testing.T) {
	dir := t.TempDir()
	rnd := rand.NewChaCha8([32]byte{1})
	runReplica(t, dir, func(node *aubconsensus.Node) {
		for i := range largeCommands {
			command := make([]byte, largeCommandBytes)
			_, _ = rnd.Read(command)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			var err error
			for err = context.Canceled; err != nil && ctx.Err() == nil; {
				_, _, err = node.Propose(ctx, command)
			}
			cancel()
			qt.Assert(t, err, qt.IsNil, qt.Commentf("command %d", i))
		}
	})
	written := folderBytes(t, dir)
	opened := runReplica(t, dir, func(*aubconsensus.Node) {})
	t.Logf("%d kB written, %d kB after it was opened again", written>>10, opened>>10)
	qt.Assert(t, written+opened <= diskBytes, qt.IsTrue, qt.Commentf("%d MB, and %d MB to open it", written>>20, opened>>20))
}
