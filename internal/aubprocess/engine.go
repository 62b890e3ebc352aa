package aubprocess

import (
	"context"
	"net/http"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubsettings"
	"github.com/auburndale/auburndale/internal/aubstandin"
)

// RunEngine runs a stand-in engine, plain service or weight store until ctx ends.
func RunEngine(ctx context.Context, common aubcommon.Common, cfg aubsettings.Settings) error {
	common = common.WithPart("standin")
	l, err := listen(ctx, "standin.listen", cfg.Standin.Listen)
	if err != nil {
		return err
	}
	common.Log.Info("Listening.")
	return aubstandin.Serve(ctx, l, newStandin(ctx, common, cfg))
}

func newStandin(ctx context.Context, common aubcommon.Common, cfg aubsettings.Settings) http.Handler {
	s := cfg.Standin
	if s.Service != "" {
		return aubstandin.NewService(ctx, common, aubstandin.ServiceOpts{Name: s.Service}).Handler()
	}
	if s.WeightStore.Serve {
		return aubstandin.NewWeightStore(common, aubstandin.WeightStoreOpts{
			LoadsPerSecond:     s.WeightStore.Rate,
			Concurrency:        s.WeightStore.Concurrency,
			AdapterConcurrency: s.WeightStore.AdapterConcurrency,
		}).Handler()
	}
	var store aubstandin.Store
	if s.StoreURL != "" {
		store = aubstandin.NewRemoteWeightStore(s.StoreURL)
	}
	return aubstandin.NewEngine(ctx, common, aubstandin.EngineOpts{
		Name:                  cfg.Name,
		MemoryBytes:           s.Memory.Bytes(),
		PrefillRate:           s.PrefillRate,
		InterToken:            s.InterToken.Value(),
		InterTokenPerSequence: s.InterTokenStep.Value(),
		MaxBatch:              s.MaxBatch,
		CacheTokens:           s.CacheTokens,
		LoadTime:              s.LoadTime.Value(),
		AdapterLoadTime:       s.AdapterLoadTime.Value(),
		Store:                 store,
		ReportLag:             s.ReportLag.Value(),
		ChecksFence:           !s.IgnoreFence,
	}).Handler()
}
