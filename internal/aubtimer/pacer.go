package aubtimer

import "time"

// Pacer spaces runs of one piece of work, so that it takes at most a share of the time however long
// a run takes. It belongs to one goroutine.
type Pacer struct {
	timer Service
	share float64
	dueAt time.Time
}

// NewPacer returns a pacer for work that may take the share, above 0 and at most 1, of the time.
func NewPacer(timer Service, share float64) *Pacer {
	return &Pacer{timer: timer, share: share}
}

// Wait returns the time until the next run may begin, 0 if it may begin now.
func (p *Pacer) Wait() time.Duration { return max(p.dueAt.Sub(p.timer.Now()), 0) }

// Run calls f and delays the next run by how long f took.
func (p *Pacer) Run(f func()) {
	startedAt := p.timer.Now()
	f()
	endedAt := p.timer.Now()
	p.dueAt = endedAt.Add(time.Duration(float64(endedAt.Sub(startedAt)) * (1/p.share - 1)))
}
