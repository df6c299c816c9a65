package clusterspec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"wingmount/decide/placement"
)

// testConfig returns the config of a destination with two endpoints.
func testConfig(destination placement.DestinationID) DestinationConfig {
	config := DestinationConfig{Destination: destination, Limit: 20, Bundle: 1}
	for i := range 2 {
		config.Endpoints = append(config.Endpoints, Endpoint{
			Name:    fmt.Sprintf("e-%d-%d", destination, i),
			Address: fmt.Sprintf("127.0.0.1:%d", 10_000+i), Zone: fmt.Sprintf("b%d", i),
		})
	}
	return config
}

const specText = `
[[node]]
name = "n1"
region = "north"
zone = "a"
weight = 2
address = "10.0.0.1:8080"

[[node]]
name = "n2"
region = "north"
zone = "b"
address = "10.0.0.2:8080"

[[destination]]
number = 1
name = "clinic"
rate = 20
owners = 1

[[destination]]
number = 70000
rate = 5
region = "north"
`

func FuzzParse(f *testing.F) {
	f.Add([]byte(specText))
	f.Fuzz(func(t *testing.T, text []byte) {
		spec, err := Parse(text)
		if err != nil {
			return
		}
		input := spec.PlacementInput(func(placement.NodeID) bool { return true }, nil, 0)
		if _, err := placement.Compute(nil, input); err != nil && len(spec.Destinations) < 100 {
			t.Fatalf("got no placement for a valid spec: %v", err)
		}
	})
}

func TestParseSetsDefaultsAndReportsFaults(t *testing.T) {
	spec, err := Parse([]byte(specText))
	if err != nil {
		t.Fatal(err)
	}
	if spec.Nodes[0].Weight != 2 || spec.Nodes[1].Weight != 1 || spec.Destinations[1].Owners != 2 || spec.Destinations[1].Number != 70000 {
		t.Fatalf("got %+v, want the weights, owners and numbers of the text", spec)
	}
	for name, text := range map[string]string{
		"line 2, column 1: unknown key nodes":              "\nnodes = 3\n",
		"node 1 (\"a\"): zone: is missing":                 "[[node]]\nname=\"a\"\nregion=\"r\"\naddress=\":1\"\n",
		"node 2 (\"a\"): name: there are two of them":      "[[node]]\nname=\"a\"\n[[node]]\nname=\"a\"\n",
		"address: \"x\" is no HOST:PORT":                   "[[node]]\nname=\"a\"\naddress=\"x\"\n",
		"destination 1 (number 5): rate: 0 is not above 0": "[[destination]]\nnumber=5\n",
		"owners: 65 is not between":                        "[[destination]]\nnumber=5\nrate=1\nowners=65\n",
		"number: there are two of them":                    "[[destination]]\nnumber=5\nrate=1\n[[destination]]\nnumber=5\nrate=1\n",
		"weight: -1 is not between":                        "[[node]]\nname=\"a\"\nweight=-1\n",
	} {
		if _, err := Parse([]byte(text)); err == nil || !bytes.Contains([]byte(err.Error()), []byte(name)) {
			t.Errorf("got %v, want an error with %q", err, name)
		}
	}
}

func TestDestinationConfigValidateReportsFaults(t *testing.T) {
	valid := testConfig(7)
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	for message, invalidate := range map[string]func(*DestinationConfig){
		"destination 7: it has no endpoint":           func(r *DestinationConfig) { r.Endpoints = nil },
		"limit: -1 is not between":                    func(r *DestinationConfig) { r.Limit = -1 },
		"bundle: 101 is not between 1 and 100":        func(r *DestinationConfig) { r.Bundle = 101 },
		`endpoint 2 (""): name: has 0 bytes`:          func(r *DestinationConfig) { r.Endpoints[1].Name = "" },
		`endpoint 1 ("e-7-0"): building: has 0 bytes`: func(r *DestinationConfig) { r.Endpoints[0].Zone = "" },
		`address: "nowhere" is no HOST:PORT`:          func(r *DestinationConfig) { r.Endpoints[0].Address = "nowhere" },
		"there are 257 endpoints, 256 at most":        func(r *DestinationConfig) { r.Endpoints = make([]Endpoint, 257) },
	} {
		invalid := testConfig(7)
		invalidate(&invalid)
		if err := invalid.Validate(); !errors.Is(err, ErrInvalidConfig) || !strings.Contains(err.Error(), message) {
			t.Errorf("got %v, want an error with %q", err, message)
		}
	}
}

// An endpoint's id differs from that of an endpoint of the same name in another zone, of another destination or of
// another kind. A new address or draining does not change the id.
func TestEndpointIDDependsOnZoneDestinationAndKind(t *testing.T) {
	config := testConfig(7)
	endpoint := config.Endpoints[0]
	ids := map[string]bool{config.EndpointID(endpoint): true}
	moved := endpoint
	moved.Zone = "elsewhere"
	ids[config.EndpointID(moved)] = true
	other := testConfig(8)
	ids[other.EndpointID(endpoint)] = true
	config.Bundle = 2
	ids[config.EndpointID(endpoint)] = true
	if len(ids) != 4 {
		t.Errorf("got the ids %v, want four", ids)
	}
	config.Bundle = 1
	endpoint.Address, endpoint.Draining = "127.0.0.1:9", true
	if !ids[config.EndpointID(endpoint)] {
		t.Error("got another id after a change of address and draining, want the same")
	}
}

func TestParseWithConfigsValidatesEndpoints(t *testing.T) {
	const two = "[[destination]]\nnumber=5\nrate=1\nlimit=20\n[[destination.endpoint]]\nname=\"a\"\naddress=\"h:1\"\nbuilding=\"b\"\n" +
		"[[destination]]\nnumber=6\nrate=1\nroutes_apart=true\nbundle=3\n"
	const second = "[[destination.endpoint]]\nname=\"c\"\naddress=\"h:2\"\nbuilding=\"b\"\ndrains=true\n"
	spec, err := Parse([]byte(two + second))
	if err != nil {
		t.Fatal(err)
	}
	want := DestinationConfig{Destination: 6, RoutesApart: true, Bundle: 3, Endpoints: []Endpoint{{Name: "c", Address: "h:2", Zone: "b", Draining: true}}}
	if got := spec.Destinations[1].Config(); !got.Equal(&want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for message, text := range map[string]string{
		"destination 6: it has no endpoint":                               two,
		`destination 6: endpoint "a": destination 5 has one of this name`: two + strings.Replace(second, `"c"`, `"a"`, 1),
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("got %v, want an error with %q", err, message)
		}
	}
}

func FuzzDestinationConfig(f *testing.F) {
	text, err := json.Marshal(testConfig(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var config DestinationConfig
		if json.Unmarshal(text, &config) != nil || config.Validate() != nil {
			return
		}
		for _, endpoint := range config.Endpoints {
			if config.EndpointID(endpoint) == "" || endpoint.Zone == "" {
				t.Fatalf("got no id or zone in the valid config %+v", config)
			}
		}
	})
}

// Errors for values of the wrong type keep the names of Go types and fields that operators know, although the types and
// fields were renamed.
func TestParseTypeErrorHasReportedNames(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ name, text, want string }{
		{"node", "[[node]]\nweight = \"x\"\n", "line 2, column 10: toml: cannot decode TOML string into struct field control.Node.Weight of type float64"},
		{"destination", "[[destination]]\nrate = \"x\"\n", "line 2, column 8: toml: cannot decode TOML string into struct field control.Destination.Rate of type float64"},
		{"zone of an endpoint", "[[destination]]\n[[destination.endpoint]]\nbuilding = 3\n", "line 3, column 12: toml: cannot decode TOML integer into struct field control.Endpoint.Building of type string"},
		{"draining endpoint", "[[destination]]\n[[destination.endpoint]]\ndrains = 3\n", "line 3, column 10: toml: cannot decode TOML integer into struct field control.Endpoint.Drains of type bool"},
		{"list of nodes", "node = 3\n", "line 1, column 8: toml: cannot decode TOML integer into struct field control.World.Nodes of type []control.Node"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if _, err := Parse([]byte(test.text)); err == nil || err.Error() != test.want {
				t.Errorf("got error %v, want %q", err, test.want)
			}
		})
	}
}
