package storetest

// possibleModels are the contents that a store may have after a crash: the current one, and those since the last call that
// made all calls before it durable. A durable call of a store that spills makes only itself durable: the ordered calls
// before it may still be lost, so that the older models stay possible, with the effect of the call.
type possibleModels struct {
	current *model
	older   []*model // the oldest first
	spills  bool     // see Suite.Spills
}

// apply changes the models as a call that has returned changes the store, which is durable or only ordered.
func (p *possibleModels) apply(durable bool, change func(*model)) {
	switch {
	case !durable:
		p.older = append(p.older, p.current.clone())
	case p.spills:
		for _, m := range p.older {
			change(m)
		}
	default:
		p.older = nil
	}
	change(p.current)
}

// all returns copies of the models, the current one last.
func (p *possibleModels) all() []*model {
	var all []*model
	for _, m := range p.older {
		all = append(all, m.clone())
	}
	return append(all, p.current.clone())
}
