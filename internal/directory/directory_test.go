package directory

import (
	"encoding/json"
	"reflect"
	"testing"
)

// An entry that can't be parsed does not affect the other entries of its list. A list that can't be parsed is an error.
func TestUnmarshalUnreadableEntryKeepsOtherEntries(t *testing.T) {
	for text, want := range map[string]*List{
		`{"revision":4,"complete":true,"members":[{"id":"a","phase":"active","cell":2},{"id":"b","cell":"x"},17,{"cell":3}]}`: {
			Revision: 4, Complete: true, Members: []Member{
				{ID: "a", Phase: Active, Destination: 2},
				{ID: "b", Phase: Unreadable},
				{ID: "entry 2 of the list", Phase: Unreadable},
				{ID: "entry 3 of the list", Phase: Unreadable},
			},
		},
		`{"revision":4,"complete":false,"members":[]}`: {Revision: 4, Members: []Member{}},
		`{"revision":"x"}`: nil,
		`{"members":{}}`:   nil,
		`[`:                nil,
	} {
		var got List
		err := json.Unmarshal([]byte(text), &got)
		if (err == nil) != (want != nil) || err == nil && !reflect.DeepEqual(got, *want) {
			t.Errorf("%s: got list %+v, error %v, want %+v", text, got, err, want)
		}
	}
}

// An entry with a destination out of range does not affect other entries. Its error contains its position in the list.
func TestMarkOutOfRangeMarksOnlyInvalidEntries(t *testing.T) {
	l := List{Members: []Member{
		{ID: "a", Phase: Active, Destination: MaxPlatformDestination},
		{ID: "b", Phase: Active, Destination: MaxPlatformDestination + 1},
		{ID: "c", Phase: Draining, Destination: -1},
	}}
	errs := l.MarkOutOfRange(MaxPlatformDestination)
	want := List{Members: []Member{{ID: "a", Phase: Active, Destination: MaxPlatformDestination}, {ID: "b", Phase: Unreadable}, {ID: "c", Phase: Unreadable}}}
	if !reflect.DeepEqual(l, want) {
		t.Errorf("got list %+v, want %+v", l, want)
	}
	if len(errs) != 2 || errs[0].Error() != `entry 1 of the list ("b"): cell 65536 is not between 0 and 65535` {
		t.Errorf("got errors %q, want one for entry 1 and one for entry 2", errs)
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
				t.Errorf("got an entry without an ID from %q", text)
			}
		}
	})
}
