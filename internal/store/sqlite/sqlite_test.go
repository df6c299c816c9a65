package sqlite

import (
	"path/filepath"
	"testing"
	"time"
	"wingmount/internal/store"
	"wingmount/internal/store/storetest"
	"wingmount/internal/testkit"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func config(dir string) Config {
	return Config{Path: filepath.Join(dir, "wingmount.db"), Durability: Process, ResponseRetention: time.Hour, NotifyDelivered: true, MaxBytes: 24 << 20, segment: 4}
}

// TestConformance runs the conformance suite that all stores pass.
func TestConformance(t *testing.T) {
	storetest.Run(t, storetest.Suite{
		Failpoints: "store/sqlite/", RetainsResponses: true, Histories: 40,
		FailpointsElsewhere: []string{"store/sqlite/during-retention", "store/sqlite/during-backup", "store/sqlite/before-backup-rename"}, NotifiesDelivered: true, HasCapacity: true,
		Open: func(dir string) (store.Store, store.Recovered, error) { return Open(config(dir), testkit.QuietLog()) },
	})
}

// TestNamesConformance runs the conformance suite for the recorded names of classes and zones.
func TestNamesConformance(t *testing.T) {
	storetest.RunNames(t, func(dir string, names store.Names) (store.Store, store.Recovered, error) {
		c := config(dir)
		c.Names = names
		return Open(c, testkit.QuietLog())
	})
}
