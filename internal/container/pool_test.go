package container

import "testing"

// A pool returns the retained values, last put first, up to MaxSpare of them. Otherwise it returns zero values.
func TestPoolRetainsUpToMaxSpareValues(t *testing.T) {
	pool := Pool[int]{MaxSpare: 2}
	if *pool.Get() != 0 {
		t.Error("Get from an empty pool: got a value other than zero")
	}
	first, second, third := new(int), new(int), new(int)
	for _, value := range []*int{first, second, third} {
		pool.Put(value)
	}
	if pool.Len() != 2 || pool.Get() != second || pool.Get() != first || pool.Len() != 0 {
		t.Error("Get after three Puts: got other values than the second and then the first")
	}
}
