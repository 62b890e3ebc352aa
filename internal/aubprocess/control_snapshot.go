package aubprocess

import (
	"path/filepath"

	"github.com/auburndale/auburndale/internal/aubregistry"
)

// registrySnapshotFile is the name of the registry's snapshot in the data folder.
const registrySnapshotFile = "registry_snapshot"

// keepRegistrySnapshots writes snapshots of the registry and uses that of an earlier run, if the
// settings say so.
func (c *controller) keepRegistrySnapshots() {
	interval := c.cfg.Registry.SnapshotInterval.Value()
	if interval == 0 {
		return
	}
	done := aubregistry.KeepSnapshots(c.ctx, c.common, aubregistry.SnapshotOpts{
		Registry:   c.registry,
		Process:    c.cfg.Name,
		Path:       filepath.Join(c.cfg.Control.DataDir, registrySnapshotFile),
		Interval:   interval,
		Activation: c.snapshotActivation,
	})
	c.group.Go(func() error {
		<-done
		return nil
	})
}

// snapshotActivation reports whether the newest configuration has deferrable routes. It is not
// known before the state is confirmed and its configuration decoded: the log of an earlier run may
// end with an older one.
func (c *controller) snapshotActivation() aubregistry.Activation {
	site := c.site.Site()
	revision, _ := c.siteTable.Revision()
	switch {
	case !c.confirmed.Load(), site == nil, site.Number() != revision.GetNumber():
		return aubregistry.ActivationUnknown
	case site.HasDeferrableRoutes(c.watcher.Settings().Admission.ObjectiveSpread):
		return aubregistry.ActivationOn
	}
	return aubregistry.ActivationOff
}

// keepsContacts returns the function that tells whether the replica keeps the time of its last
// contact with a leader; nil if the settings turn deferrable routes off.
func (c *controller) keepsContacts() func() bool {
	if c.cfg.Admission.ObjectiveSpread == 0 {
		return nil
	}
	return func() bool { return c.snapshotActivation() == aubregistry.ActivationOn }
}
