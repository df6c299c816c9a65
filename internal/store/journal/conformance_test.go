package journal

import (
	"testing"

	"wingmount/internal/store"
	"wingmount/internal/store/storetest"
)

func TestConformance(t *testing.T) {
	storetest.Run(t, storetest.Maker{Points: "store/journal/", Messages: 24, Size: 20_000, Fills: true,
		Open: func(dir string) (store.Store, store.Recovered, error) {
			j, r, err := Open(dir, MinDisk, quietLog())
			return j, r, err
		}})
}
