package auborder

import (
	"maps"

	"github.com/auburndale/auburndale/internal/aubsite"
)

// modelSize is the accelerator memory that copies of a model take.
type modelSize struct {
	megabytes, adapterMegabytes float64
}

// atLeast returns the larger of two sizes.
func (s modelSize) atLeast(other modelSize) modelSize {
	return modelSize{megabytes: max(s.megabytes, other.megabytes), adapterMegabytes: max(s.adapterMegabytes, other.adapterMegabytes)}
}

// noteSizes notes the sizes that the configuration states. A copy keeps the size that it was loaded
// with, so a model that is dropped or made smaller keeps its largest size while it may be resident.
func (d *Director) noteSizes(service aubsite.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sizes := d.sizes[service.Name]
	if sizes == nil {
		sizes = make(map[string]modelSize)
		d.sizes[service.Name] = sizes
	}
	for _, m := range service.Engine.Models {
		sizes[m.Name] = modelSize{megabytes: m.Megabytes, adapterMegabytes: m.AdapterMegabytes}.atLeast(sizes[m.Name])
	}
}

// forgetSizes sets the sizes of models that no engine holds or may be loading to those that the
// configuration states. It does nothing unless the states of all engines of the service are known.
func (d *Director) forgetSizes(service aubsite.Service, engines map[string]*engineState) {
	resident := make(map[string]bool)
	for _, e := range engines {
		e.mu.Lock()
		isKnown := e.stateKnown
		for name := range e.models {
			resident[name] = true
		}
		if e.operation != nil {
			resident[e.operation.model] = true
		}
		resident[e.uncertainLoad()] = true
		e.mu.Unlock()
		if !isKnown {
			return
		}
	}
	stated := make(map[string]modelSize, len(service.Engine.Models))
	for _, m := range service.Engine.Models {
		stated[m.Name] = modelSize{megabytes: m.Megabytes, adapterMegabytes: m.AdapterMegabytes}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.sizes[service.Name] {
		size, isStated := stated[name]
		switch {
		case resident[name]:
		case isStated:
			d.sizes[service.Name][name] = size
		default:
			delete(d.sizes[service.Name], name)
		}
	}
}

// modelSizes returns the sizes of the models that engines of the service may hold.
func (d *Director) modelSizes(service string) map[string]modelSize {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.sizes[service])
}
