package lease

// grantList is a linked list of a session's grants, ordered by version. The grants that were changed after a version are
// its tail.
type grantList struct {
	oldest, newest *grant
	grantCount     int
}

// append adds a grant with a version, which is higher than those of all grants in the list.
func (l *grantList) append(g *grant, version Version) {
	g.version = version
	g.previous, g.next = l.newest, nil
	if l.newest == nil {
		l.oldest = g
	} else {
		l.newest.next = g
	}
	l.newest = g
}

// unlink removes a grant from the list.
func (l *grantList) unlink(g *grant) {
	if g.previous == nil {
		l.oldest = g.next
	} else {
		g.previous.next = g.next
	}
	if g.next == nil {
		l.newest = g.previous
	} else {
		g.next.previous = g.previous
	}
	g.previous, g.next = nil, nil
}

// changedSince returns the grants that were changed after a version, in the order of the changes.
func (l *grantList) changedSince(version Version) []*grant {
	lastUnchanged, count := l.newest, 0
	for lastUnchanged != nil && lastUnchanged.version > version {
		lastUnchanged = lastUnchanged.previous
		count++
	}
	if count == 0 {
		return nil
	}
	changed := make([]*grant, 0, count)
	next := l.oldest
	if lastUnchanged != nil {
		next = lastUnchanged.next
	}
	for ; next != nil; next = next.next {
		changed = append(changed, next)
	}
	return changed
}
