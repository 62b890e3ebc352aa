package aubdistribution

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubstate/aubcodec"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
)

const (
	// cacheFile is the name of the cache file in the data directory.
	cacheFile = "config.cache"
	dirMode   = 0o700
	fileMode  = 0o600
)

// cache stores the newest configuration in a file. Without a directory it stores
// nothing.
type cache struct {
	common aubcommon.Common
	dir    string
}

func newCache(common aubcommon.Common, dir string) *cache {
	return &cache{common: common, dir: dir}
}

// load returns the cached configuration, or the empty one if there is none or if it
// can't be read or does not match its digest.
func (c *cache) load() aubquery.Config {
	empty := aubquery.NewConfig(aubquery.ConfigObjects{})
	if c.dir == "" {
		return empty
	}
	data, err := os.ReadFile(c.path())
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			c.common.Log.Error("Cached configuration can't be read.", zap.String("file", c.path()), zap.Error(err))
		}
		return empty
	}
	cfg, err := decodeFull(data)
	if err != nil {
		c.common.Log.Error("Cached configuration is damaged.", zap.String("file", c.path()), zap.Error(err))
		return empty
	}
	return cfg
}

// save replaces the cached configuration. If that fails, the previous one is removed,
// so that a restart can't publish an older version than this process.
func (c *cache) save(cfg aubquery.Config) {
	if c.dir == "" {
		return
	}
	err := c.write(cfg)
	if err == nil {
		return
	}
	c.common.Metrics.Counter("cache_failures").Inc(1)
	c.common.Log.Error("Configuration can't be written to the cache.", zap.Uint64("version", cfg.Version()), zap.Error(err))
	if err := os.Remove(c.path()); err != nil && !errors.Is(err, fs.ErrNotExist) {
		c.common.Log.Error("Outdated cached configuration can't be removed.", zap.Error(err))
	}
}

// write replaces the cache file atomically and syncs the file and its directory.
func (c *cache) write(cfg aubquery.Config) error {
	data, err := proto.Marshal(encodeFull(cfg))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.dir, dirMode); err != nil {
		return err
	}
	tempFile := c.path() + ".next"
	if err := writeSynced(tempFile, data); err != nil {
		return err
	}
	if err := os.Rename(tempFile, c.path()); err != nil {
		return err
	}
	return syncDir(c.dir)
}

func (c *cache) path() string { return filepath.Join(c.dir, cacheFile) }

// writeSynced writes a file and syncs it to disk.
func writeSynced(name string, data []byte) error {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}

// syncDir syncs a directory to disk, which makes a rename in it durable.
func syncDir(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func encodeFull(cfg aubquery.Config) *aubwire.ConfigFull {
	return &aubwire.ConfigFull{State: aubcodec.ConfigToWire(cfg), Digest: cfg.Digest().Bytes()}
}

// decodeFull decodes an encoded ConfigFull. It returns a *DigestError if the content
// does not match the digest.
func decodeFull(data []byte) (aubquery.Config, error) {
	var full aubwire.ConfigFull
	if err := proto.Unmarshal(data, &full); err != nil {
		return aubquery.Config{}, err
	}
	cfg := aubcodec.ConfigFromWire(full.GetState())
	if !equalDigest(cfg, full.GetDigest()) {
		return aubquery.Config{}, &DigestError{Version: cfg.Version()}
	}
	return cfg, nil
}
