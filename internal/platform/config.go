package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"
	"wingmount/internal/directory"
	"wingmount/internal/store"
	"wingmount/internal/store/journal"
	"wingmount/internal/wire"
	"wingmount/policy"
)

// defaultIdleClose is when partners close idle connections where the settings do not say it.
const defaultIdleClose = 15 * time.Second

// Config is the configuration of a node on the platform.
type Config struct {
	Name          string
	Listen        string // address for clients
	Discovery     string // address of the directory
	StateDir      string
	Seed          uint64
	Cores         float64
	MemoryMB      int
	Sockets       int
	DiskBytes     int64
	PeerListen    string           // address for messages of other nodes; empty where nodes do not exchange any
	Peers         []netip.AddrPort // all nodes, this one at Index
	PeerBroadcast string           // address of all other nodes
	Index         int
	Known         directory.List // the endpoint list of an earlier process
	Settings      policy.Settings
	// Classes, Kinds and Zones are the module's numbers of the names in the settings.
	Classes, Kinds, Zones map[string]int
	IdleClose             time.Duration // when partners close idle connections
}

// Names returns the names of classes and zones, in the order of their numbers.
func (c Config) Names() store.Names {
	return store.Names{Classes: orderedNames(c.Classes), Zones: orderedNames(c.Zones)}
}

// Renumber gives classes and zones the numbers that the store knows them by, whatever their order in the settings is. A
// class or zone that only the store has keeps its number, unused.
func (c *Config) Renumber(stored store.Names) {
	old, classes := c.Settings.Classes, make([]policy.Class, len(stored.Classes))
	for i := range classes {
		classes[i] = policy.Class{Repeat: policy.AtMostOnce, SoftDeadline: time.Second, Deadline: time.Second, Value: 1}
	}
	for i, name := range stored.Classes {
		if number, ok := c.Classes[name]; ok {
			classes[i], c.Classes[name] = old[number], i
		}
	}
	fees := make([]float64, len(stored.Zones))
	for i, name := range stored.Zones {
		if number, ok := c.Zones[name]; ok {
			if number < len(c.Settings.ZoneFee) {
				fees[i] = c.Settings.ZoneFee[number]
			}
			c.Zones[name] = i
		}
	}
	c.Settings.Classes, c.Settings.ZoneFee = classes, fees
}

// orderedNames returns names in the order of their numbers.
func orderedNames(numbers map[string]int) []string {
	names := slices.Collect(maps.Keys(numbers))
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(numbers[a], numbers[b]) })
	return names
}

// numberNames returns the numbers of names by their order.
func numberNames(names []string) map[string]int {
	numbers := make(map[string]int, len(names))
	for i, name := range names {
		numbers[name] = i
	}
	return numbers
}

// configFile is the form of the configuration file.
type configFile struct {
	Name      string
	Listen    string
	Discovery string
	Seed      string
	Limits    struct {
		Cores    float64
		MemoryMB int `json:"memory_mb"`
		Sockets  int
		DiskMB   float64 `json:"disk_mb"`
	}
	PeerListen    string   `json:"peer_listen"`
	Peers         []string `json:"peers"`
	PeerBroadcast string   `json:"peers_all"`
	Known         directory.List
	Settings      json.RawMessage
}

// settingNames is the part of the settings that only a real node needs. The simulator's part is read by package wire.
type settingNames struct {
	Index          int `json:"Me"`
	Classes        []struct{ Name string }
	MachineTypes   []string
	FailureDomains []string
	PolicyLimits   struct{ IdleCloseUs int64 }
}

// LoadConfig reads the configuration file that PROXY_CONFIG names. The other environment variables of the platform
// override the file, but for the directory's address: the file is replaced while the node runs, and the variable is
// not. An error names the setting that is wrong.
func LoadConfig(env func(string) string) (Config, error) {
	f, err := readConfigFile(env("PROXY_CONFIG"))
	if err != nil {
		return Config{}, err
	}
	c := Config{
		Name: cmp.Or(env("PROXY_NAME"), f.Name), Listen: cmp.Or(env("PROXY_LISTEN"), f.Listen),
		Discovery: cmp.Or(f.Discovery, env("PROXY_DISCOVERY")), StateDir: env("PROXY_STATE"),
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		DiskBytes: int64(f.Limits.DiskMB * 1e6), PeerListen: f.PeerListen, PeerBroadcast: f.PeerBroadcast, Known: f.Known,
	}
	for _, address := range []struct{ variable, value string }{{"PROXY_LISTEN", c.Listen}, {"PROXY_DISCOVERY", c.Discovery}} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return Config{}, fmt.Errorf("%s: %w", address.variable, err)
		}
	}
	if c.StateDir == "" {
		return Config{}, errors.New("PROXY_STATE is not set")
	}
	if c.DiskBytes < journal.MinDisk {
		return Config{}, fmt.Errorf("limits.disk_mb is %v, less than a journal needs", f.Limits.DiskMB)
	}
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return Config{}, fmt.Errorf("seed: %w", err)
		}
	}
	for _, p := range f.Peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return Config{}, fmt.Errorf("peers: %w", err)
		}
		c.Peers = append(c.Peers, a)
	}
	if err := c.readSettings(f.Settings); err != nil {
		return Config{}, err
	}
	return c, nil
}

func readConfigFile(path string) (configFile, error) {
	if path == "" {
		return configFile{}, errors.New("PROXY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return configFile{}, fmt.Errorf("reading the configuration: %w", err)
	}
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return configFile{}, fmt.Errorf("reading the configuration %s: %w", path, err)
	}
	return f, nil
}

// readSettings reads the settings of the configuration file.
func (c *Config) readSettings(text json.RawMessage) error {
	settings, err := wire.DecodeSettings(text)
	if err != nil {
		return err
	}
	var own settingNames
	if err := json.Unmarshal(text, &own); err != nil {
		return fmt.Errorf("unreadable settings: %w", err)
	}
	classes := make([]string, len(own.Classes))
	for i, class := range own.Classes {
		if class.Name == "" {
			return fmt.Errorf("unreadable settings: class %d has no name", i)
		}
		classes[i] = class.Name
	}
	c.Settings, c.Index = settings, own.Index
	c.Classes, c.Kinds, c.Zones = numberNames(classes), numberNames(own.MachineTypes), numberNames(own.FailureDomains)
	c.IdleClose = time.Duration(own.PolicyLimits.IdleCloseUs) * time.Microsecond
	if c.IdleClose <= 0 {
		c.IdleClose = defaultIdleClose
	}
	return nil
}
