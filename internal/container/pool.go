package container

// Pool retains up to MaxSpare values for reuse.
type Pool[T any] struct {
	MaxSpare int
	spare    []*T
}

// Get returns a retained value without resetting it, or a new zero value if there is none.
func (p *Pool[T]) Get() *T {
	last := len(p.spare) - 1
	if last < 0 {
		return new(T)
	}
	value := p.spare[last]
	p.spare = p.spare[:last]
	return value
}

// Put retains a value for a later Get. It drops the value if the pool has MaxSpare values.
func (p *Pool[T]) Put(value *T) {
	if len(p.spare) < p.MaxSpare {
		p.spare = append(p.spare, value)
	}
}

// Len returns the number of retained values.
func (p *Pool[T]) Len() int { return len(p.spare) }
