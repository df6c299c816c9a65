package container

import "iter"

// Linked is a pointer to a value of a [TagMap]. Link returns the address of the value's link field, in which the map stores
// the previous value with the same tag. Only the map writes the field.
type Linked[T any] interface {
	comparable
	Link() *T
}

// TagMap finds values by a short tag that several values may share. Values with the same tag form a linked list, so that
// the map needs one entry per tag.
type TagMap[Tag comparable, T Linked[T]] struct {
	newest        map[Tag]T
	newestRemoved map[Tag]struct{} // tags whose newest value was removed while older ones were present
}

// Add adds a value with a tag.
func (m *TagMap[Tag, T]) Add(tag Tag, value T) {
	if m.newest == nil {
		m.newest, m.newestRemoved = map[Tag]T{}, map[Tag]struct{}{}
	}
	*value.Link() = m.newest[tag]
	m.newest[tag] = value
	delete(m.newestRemoved, tag)
}

// Remove removes a value that was added with the tag.
func (m *TagMap[Tag, T]) Remove(tag Tag, value T) {
	older := *value.Link()
	if m.newest[tag] != value {
		for v := range m.chain(m.newest[tag]) {
			if *v.Link() == value {
				*v.Link() = older
				return
			}
		}
		return
	}
	var zero T
	if older == zero {
		delete(m.newest, tag)
		delete(m.newestRemoved, tag)
		return
	}
	m.newest[tag] = older
	m.newestRemoved[tag] = struct{}{}
}

// Current returns the value that was added last with a tag. Once that value is removed, it returns the zero value until
// another is added, because a report with this tag may refer to the removed value rather than to an older one.
func (m *TagMap[Tag, T]) Current(tag Tag) (value T) {
	if _, removed := m.newestRemoved[tag]; removed {
		return value
	}
	return m.newest[tag]
}

// Find returns the newest value with a tag for which match returns true, or the zero value.
func (m *TagMap[Tag, T]) Find(tag Tag, match func(T) bool) (none T) {
	for v := range m.chain(m.newest[tag]) {
		if match(v) {
			return v
		}
	}
	return none
}

// All iterates over all values in unspecified order.
func (m *TagMap[Tag, T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, newest := range m.newest {
			for v := range m.chain(newest) {
				if !yield(v) {
					return
				}
			}
		}
	}
}

// chain iterates over a value and the older values with the same tag, newest first.
func (m *TagMap[Tag, T]) chain(newest T) iter.Seq[T] {
	return func(yield func(T) bool) {
		var none T
		for v := newest; v != none; v = *v.Link() {
			if !yield(v) {
				return
			}
		}
	}
}
