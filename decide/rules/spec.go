package rules

// Limits of a rule file. Compile rejects a file that exceeds any of them.
const (
	MaxMessageKinds    = 64       // [[message]] tables in a file
	MaxFields          = 64       // fields of a kind of message
	MaxRules           = 256      // rules in a file
	MaxExamples        = 1024     // examples in a file
	MaxExpressionChars = 4096     // characters of an expression
	MaxListItems       = 1024     // items of a list in a body
	MaxStringChars     = 4096     // characters of a string in a body
	MaxBodyBytes       = 64 << 10 // bytes of a body
	// DefaultMaxCost is the cost limit, in cost units, of a file without max_cost.
	DefaultMaxCost = 10_000
	// MaxCostLimit is the highest max_cost, in cost units.
	MaxCostLimit = 1_000_000
)

// Values of [Spec.OnInvalid]: the treatment of a message that can't be evaluated, see [InvalidMessageError].
const (
	RejectInvalid = "refuse" // the message is not accepted
	AcceptInvalid = "keep"   // the message is accepted with the class and key that its client gave
)

// Spec is the content of a rule file. The first rule whose condition is true determines a message's class and key.
type Spec struct {
	MaxCost   uint64        `toml:"max_cost"` // cost units for one message; 0 means DefaultMaxCost
	OnInvalid string        `toml:"misfit"`   // empty means RejectInvalid
	Messages  []MessageSpec `toml:"message"`
	Rules     []RuleSpec    `toml:"rule"`
	Examples  []ExampleSpec `toml:"example"`
}

// MessageSpec declares one kind of message: the fields of its body and its identities.
type MessageSpec struct {
	Class      string         `toml:"class"`    // class that clients give such messages
	MaxBody    int            `toml:"max_body"` // bytes; 0 means 4096
	Fields     []FieldSpec    `toml:"field"`
	Identities []IdentitySpec `toml:"identity"`
}

// FieldSpec declares a field of a JSON body.
type FieldSpec struct {
	Name    string `toml:"name"`     // path, such as customer.account
	Type    string `toml:"type"`     // string, int, double, bool, or list(one of them)
	Max     int    `toml:"max"`      // characters of a string (0 means 64), items of a list (0 means 16)
	MaxItem int    `toml:"max_item"` // characters of a string in a list; 0 means 64
	Default any    `toml:"default"`  // value if the field is missing or null; nil makes the field required
}

// IdentitySpec names the fields that identify a message: messages with equal values of these fields are duplicates.
type IdentitySpec struct {
	Name   string   `toml:"name"`
	Fields []string `toml:"fields"`
}

// RuleSpec sets the class, the key or both of messages for which a condition is true.
type RuleSpec struct {
	Name    string   `toml:"name"`
	For     []string `toml:"for"`     // kinds of message, by the class that clients give
	When    string   `toml:"when"`    // condition; empty means always
	Class   string   `toml:"class"`   // expression of type string; empty leaves the client's class
	Key     string   `toml:"key"`     // expression of type string; empty leaves the client's key
	Relaxes bool     `toml:"relaxes"` // the class may give weaker guarantees than the client's class
}

// ExampleSpec is a message with its expected result. Compile evaluates each example.
type ExampleSpec struct {
	Name        string `toml:"name"`
	Class       string `toml:"class"`
	ID          string `toml:"id"` // empty means "example"
	Key         string `toml:"key"`
	Dest        int    `toml:"dest"`
	Body        string `toml:"body"`
	WantRule    string `toml:"want_rule"`   // name of the rule; empty means that no rule matches
	WantClass   string `toml:"want_class"`  // empty means the class of the message
	WantKey     string `toml:"want_key"`    // empty means any
	WantInvalid bool   `toml:"want_misfit"` // the message can't be evaluated, see InvalidMessageError
}
