package directory

import (
	"encoding/json"
	"reflect"
	"testing"
)

// An entry that can't be read costs nothing but itself.
func TestUnreadableEntries(t *testing.T) {
	for text, want := range map[string]*List{
		`{"revision":4,"complete":true,"members":[{"id":"a","phase":"active","cell":2},{"id":"b","cell":"x"},17,{"cell":3}]}`: {
			Revision: 4, Complete: true, Members: []Member{{ID: "a", Phase: Active, Cell: 2}, {ID: "b", Phase: Unreadable},
				{ID: "entry 2 of the list", Phase: Unreadable}, {ID: "entry 3 of the list", Phase: Unreadable}}},
		`{"revision":4,"complete":false,"members":[]}`: {Revision: 4, Members: []Member{}},
		`{"revision":"x"}`: nil,
		`{"members":{}}`:   nil,
		`[`:                nil,
	} {
		var got List
		err := json.Unmarshal([]byte(text), &got)
		if (err == nil) != (want != nil) || err == nil && !reflect.DeepEqual(got, *want) {
			t.Errorf("%s: %+v, %v", text, got, err)
		}
	}
}

func FuzzList(f *testing.F) {
	f.Add([]byte(`{"revision":1,"complete":true,"members":[{"id":"a","phase":"left"},{"id":7}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var l List
		if json.Unmarshal(text, &l) != nil {
			return
		}
		for _, m := range l.Members {
			if m.ID == "" {
				t.Errorf("an entry without a name in %q", text)
			}
		}
	})
}
