package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
	"wingmount/policy"
)

// config is the part of the settings that the module uses; other keys are ignored. Its tags map the protocol's words to
// those of the code. Times are in microseconds.
type config struct {
	Senders      *int          `json:"NInstances"`
	Classes      []classConfig `json:"Classes"`
	MachineTypes []string
	Extra        extraConfig
	PolicyLimits struct {
		MaxAttempts      int
		MaxInFlight      int `json:"MaxOpen"`
		MaxRetryAfterUs  int64
		ConnectTimeoutUs int64
		RetryAfter       bool
		PeerMessages     bool `json:"MayTell"`
	}
	Obligations struct {
		DrainGraceUs         int64
		WarmUpUs             int64
		OverloadWindowUs     int64   `json:"FallUs"`
		KeyRestUs            int64   `json:"TurnGapUs"`
		InitialCapacityShare float64 `json:"ColdFrom"`
		OverloadMultiple     float64 `json:"FallMultiple"`
	}
	TickUs     int64
	RateSource string `json:"WeightSource"`
	Discovery  string
}

// classConfig is one class of messages. It is an alias, as extraConfig is, since errors of package json name a type.
type classConfig = struct {
	SoftDeadlineUs int64 `json:"AimUs"`
	DeadlineUs     int64
	WindowUs       int64
	Group          string
	Idempotency    string
	Ordered        bool    `json:"Sequential"`
	Value          float64 `json:"Worth"`
	LateValue      float64 `json:"LateWorth"`
}

// extraConfig is the part of the settings that is particular to this protocol.
type extraConfig = struct {
	BundleMax     []int
	RoutesApart   []bool
	FeeByZone     []float64
	LateValueForm string `json:"Late"`
	MaxCalls      int
}

func microseconds(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// DecodeSettings reads the settings of an instance. An error names the key that is wrong.
func DecodeSettings(text []byte) (policy.Settings, error) {
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return policy.Settings{}, fmt.Errorf("unreadable settings: %w", err)
	}
	if c.Senders == nil || len(c.Classes) == 0 {
		return policy.Settings{}, errors.New("unreadable settings: NInstances or Classes is missing")
	}
	s := policy.Settings{
		Senders: *c.Senders, ZoneFee: c.Extra.FeeByZone,
		PeerMessages: c.PolicyLimits.PeerMessages,
		Slots:        c.Extra.MaxCalls, MaxInFlight: c.PolicyLimits.MaxInFlight, MaxAttempts: c.PolicyLimits.MaxAttempts,
		MaxRetryAfter: microseconds(c.PolicyLimits.MaxRetryAfterUs), AdviseRetryAfter: c.PolicyLimits.RetryAfter,
		Tick: microseconds(c.TickUs), ConnectTimeout: microseconds(c.PolicyLimits.ConnectTimeoutUs),
		DrainGrace: microseconds(c.Obligations.DrainGraceUs), InitialCapacity: c.Obligations.InitialCapacityShare,
		WarmUp: microseconds(c.Obligations.WarmUpUs), OverloadFactor: c.Obligations.OverloadMultiple,
		OverloadWindow: microseconds(c.Obligations.OverloadWindowUs), KeyCooldown: microseconds(c.Obligations.KeyRestUs),
		Kinds: c.kinds(),
	}
	if err := c.decodeModes(&s); err != nil {
		return policy.Settings{}, err
	}
	for i, k := range c.Classes {
		class, err := decodeClass(k, i)
		if err != nil {
			return policy.Settings{}, err
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

// decodeModes sets what the settings say by a word.
func (c *config) decodeModes(s *policy.Settings) error {
	switch c.Extra.LateValueForm {
	case "even", "":
	case "by_half":
		s.HalvesLate = true
	default:
		return fmt.Errorf("unreadable settings: Extra.Late is %q", c.Extra.LateValueForm)
	}
	switch c.Discovery {
	case "automatic", "":
	case "subscribe":
		s.MustSubscribe = true
	default:
		return fmt.Errorf("unreadable settings: Discovery is %q", c.Discovery)
	}
	switch c.RateSource {
	case "silent", "":
	case "nominal":
		s.RateAccuracy = policy.RateExact
	case "rough":
		s.RateAccuracy = policy.RateRough
	default:
		return fmt.Errorf("unreadable settings: WeightSource is %q", c.RateSource)
	}
	return nil
}

// decodeClass returns the class with a number.
func decodeClass(k classConfig, number int) (policy.Class, error) {
	class := policy.Class{
		DedupWindow: microseconds(k.WindowUs), Ordered: k.Ordered, SoftDeadline: microseconds(k.SoftDeadlineUs), Deadline: microseconds(k.DeadlineUs),
		Value: k.Value, LateValue: k.LateValue,
		GroupAll: k.Group == "all", GroupZone: k.Group == "zone",
	}
	if class.Deadline <= 0 {
		return policy.Class{}, fmt.Errorf("unreadable settings: DeadlineUs of class %d is missing", number)
	}
	switch k.Idempotency {
	case "idempotent":
		class.Repeat = policy.Idempotent
	case "deduplicated":
		class.Repeat = policy.Deduplicated
	case "at_most_once":
		class.Repeat = policy.AtMostOnce
	default:
		return policy.Class{}, fmt.Errorf("unreadable settings: Idempotency of class %d is %q", number, k.Idempotency)
	}
	return class, nil
}

// kinds returns the kinds of destinations. Lists of their properties may be shorter.
func (c *config) kinds() []policy.Kind {
	var kinds []policy.Kind
	for i := range c.MachineTypes {
		kind := policy.Kind{MaxBatch: 1}
		if i < len(c.Extra.BundleMax) {
			kind.MaxBatch = max(1, c.Extra.BundleMax[i])
		}
		if i < len(c.Extra.RoutesApart) {
			kind.SeparateRoutes = c.Extra.RoutesApart[i]
		}
		kinds = append(kinds, kind)
	}
	return kinds
}
