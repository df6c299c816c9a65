// Package failpoint has named failure points: places in the code at which tests cause a crash, an error or a delay.
//
// Points are made at package level, and [Names] returns those of a program, so that a test which enumerates them covers a
// new one without a change. Only tests, test clusters and the flag "run --fail" arm points.
// Passing a point that is not armed costs one atomic load. All functions are safe for concurrent use. Start reading at
// [Point.At].
package failpoint

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Point is a failure point. [New] makes one.
type Point struct {
	name string
	hook atomic.Pointer[func() error] // nil while the point is not armed
}

var registry struct {
	sync.Mutex
	points map[string]*Point
}

// New makes a point, at package level. Names are PACKAGE/PLACE, such as "store/sqlite/after-commit". It panics if there is
// a point with the name.
func New(name string) *Point {
	registry.Lock()
	defer registry.Unlock()
	if registry.points == nil {
		registry.points = map[string]*Point{}
	}
	if registry.points[name] != nil {
		panic("failpoint: two points are called " + name)
	}
	p := &Point{name: name}
	registry.points[name] = p
	return p
}

// At passes the point. It returns the error of the hook, and nil if the point is not armed.
func (p *Point) At() error {
	if hook := p.hook.Load(); hook != nil {
		return (*hook)()
	}
	return nil
}

// Name returns the name of the point.
func (p *Point) Name() string { return p.name }

// Names returns the sorted names with a prefix of the points of this program.
func Names(prefix string) []string {
	registry.Lock()
	defer registry.Unlock()
	var names []string
	for name := range registry.points {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Set arms a point with a hook in place of an earlier one, and returns a function that disarms it, unless another hook was
// set meanwhile. Several goroutines may call the hook at once. Set fails if there is no point with the name.
func Set(name string, hook func() error) (disarm func(), err error) {
	registry.Lock()
	defer registry.Unlock()
	p := registry.points[name]
	if p == nil {
		return nil, fmt.Errorf("failpoint: there is no point %q", name)
	}
	p.hook.Store(&hook)
	return func() { p.hook.CompareAndSwap(&hook, nil) }, nil
}
