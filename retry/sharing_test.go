package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestSharing checks when a process has a part, and among how many it divides, as its list changes. It guards against
// parts that add up to more than the whole.
func TestSharing(t *testing.T) {
	// list is what the process gets once a second in the time.
	type list struct {
		from, until time.Duration
		listed      string // one letter for each process; the process itself is "a"
	}
	const always = time.Hour
	cases := map[string]struct {
		first bool // the fleet starts for the first time
		lists []list
		at    time.Duration
		want  Share
	}{
		"a fleet starts":                          {true, []list{{0, always, "abc"}}, 5 * time.Second, Share{3, 0.25}},
		"a fleet starts, the store is lost":       {true, []list{{0, 5 * time.Second, "abc"}}, 8 * time.Second, Share{3, 0}},
		"a fleet has started":                     {true, []list{{0, always, "abc"}}, 12 * time.Second, Share{3, 1}},
		"a process starts":                        {false, []list{{0, always, "abc"}}, 20 * time.Second, Share{3, 0}},
		"a process has started":                   {false, []list{{0, always, "abc"}}, 22 * time.Second, Share{3, 1}},
		"no list":                                 {false, nil, time.Hour, Share{1, 0}},
		"never listed itself":                     {false, []list{{0, always, "bc"}}, time.Minute, Share{3, 0}},
		"another one is added":                    {false, []list{{0, 30 * time.Second, "abc"}, {30 * time.Second, always, "abcd"}}, 31 * time.Second, Share{4, 1}},
		"another one is gone":                     {false, []list{{0, 30 * time.Second, "abc"}, {30 * time.Second, always, "ab"}}, 45 * time.Second, Share{3, 1}},
		"another one has been gone for long":      {false, []list{{0, 30 * time.Second, "abc"}, {30 * time.Second, always, "ab"}}, 55 * time.Second, Share{2, 1}},
		"the list empties":                        {false, []list{{0, 30 * time.Second, "abc"}, {30 * time.Second, always, ""}}, 35 * time.Second, Share{3, 1}},
		"the list has emptied for long":           {false, []list{{0, 30 * time.Second, "abc"}, {30 * time.Second, always, ""}}, 42 * time.Second, Share{3, 0}},
		"no list for a while":                     {false, []list{{0, 30 * time.Second, "abc"}}, 39 * time.Second, Share{3, 1}},
		"no list for long":                        {false, []list{{0, 30 * time.Second, "abc"}}, 41 * time.Second, Share{3, 0}},
		"back soon":                               {false, []list{{0, 30 * time.Second, "abc"}, {38 * time.Second, always, "abc"}}, 40 * time.Second, Share{3, 1}},
		"back after long":                         {false, []list{{0, 30 * time.Second, "abc"}, {45 * time.Second, always, "abc"}}, 60 * time.Second, Share{3, 0}},
		"back after long, and listed since":       {false, []list{{0, 30 * time.Second, "abc"}, {45 * time.Second, always, "abc"}}, 67 * time.Second, Share{3, 1}},
		"those not seen in a gap are not dropped": {false, []list{{0, 30 * time.Second, "abc"}, {30 * time.Second, 33 * time.Second, "ab"}, {60 * time.Second, always, "ab"}}, 75 * time.Second, Share{3, 0}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			sharing := &Sharing{Self: "a", Window: 10 * time.Second, Hold: 10 * time.Second}
			if test.first {
				sharing.SetFirstStart()
			}
			for now := time.Duration(0); now <= test.at; now += time.Second {
				for _, list := range test.lists {
					if now < list.from || now >= list.until {
						continue
					}
					listed := map[shedkeel.NodeID]bool{}
					for _, letter := range list.listed {
						listed[shedkeel.NodeID(letter)] = true
					}
					sharing.Update(listed, now+1)
				}
			}
			assert.Equal(t, sharing.Share(test.at+1), test.want)
		})
	}
}
