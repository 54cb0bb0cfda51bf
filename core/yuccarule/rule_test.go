package yuccarule_test

import (
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccarule"
)

// baseRules is a valid rules file, to which the tests add lines from line 5 on.
const baseRules = `region a domains=a1,a2 # net
region b domains=b1 # net
link a b cap=4Gbit # net
service s host=s.example regions=a,b # web
`

func TestParseProblems(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"valid", "shift s from=a to=b share=30% # ops", nil},
		{"unknown keyword", "swing s # ops", []string{`f:5:1: unknown rule "swing"; want one of block, cap,`}},
		{"no requester", "drain region a", []string{"f:5:15: nobody is named; want # and"}},
		{"empty requester", "drain region a #  ", []string{"f:5:17: nobody is named"}},
		{"unknown key", "cap s step=1% every=1m often=2 # o", []string{`f:5:24: unknown key "often"; want one of step, every`}},
		{"key twice", "cap s step=1% step=2% every=1m # o", []string{`f:5:15: key "step" is given twice`}},
		{"missing key", "cap s step=1% # o", []string{"f:5:14: every= is missing"}},
		{"extra word", "cap s t step=1% every=1m # o", []string{`f:5:7: unexpected word "t"`}},
		{"duplicate rule", "region a domains=a3 # o", []string{"f:5:1: region a is already defined in line 1"}},
		{"duplicate link", "link b a cap=1Gbit # o", []string{"f:5:1: link a b is already defined in line 3"}},
		{"domain twice", "region c domains=a1 # o", []string{"domain a1 is already defined in line 1"}},
		{"host twice", "service t host=s.example regions=a # o", []string{"host s.example is already defined in line 4"}},
		{"unknown service", "cap t step=1% every=1m # o", []string{`f:5:5: unknown service "t"`}},
		{"unknown region", "drain region c # o", []string{`f:5:14: unknown region "c"`}},
		{"unknown site", "block 10.0.0.0/8 site=c # o", []string{`f:5:23: unknown site "c"`}},
		{"cycle", "shift s from=a to=b share=1% # o\nshift s from=b to=a share=1% # o", []string{"f:5:19: shifts of s form a cycle", "f:6:19: shifts of s form a cycle"}},
		{"shift to the same region", "shift s from=a to=a share=1% # o", []string{"f:5:19: the shift goes to the region it comes from"}},
		{"shifts above 100%", "region c domains=c1 # o\nservice u host=u regions=a,b,c # o\nshift u from=a to=b share=60% # o\nshift u from=a to=c share=60% # o", []string{"f:8:27: shifts of u from a add up to 120%"}},
		{"share above 100%", "shift s from=a to=b share=130% # o", []string{`f:5:27: "130%" is not a share`}},
		{"no percent", "shift s from=a to=b share=30 # o", []string{`f:5:27: "30" is not a share`}},
		{"bad rate", "link a b cap=4GB # o", []string{`f:5:14: "4GB" is not a rate; want a rate such as 4Gbit`}},
		{"rate overflow", "link a b cap=99999999999Gbit # o", []string{"is not a rate"}},
		{"bad duration", "cap s step=1% every=1min # o", []string{`f:5:21: "1min" is not a duration`}},
		{"negative duration", "cap s step=1% every=-1m # o", []string{"is not a duration"}},
		{"window too long", "goal s latency=1s share=99% window=91d # o", []string{`f:5:36: "91d" is too long for a window`}},
		{"bad time", "event e service=s start=tomorrow lead=1m length=1h factor=2 # o", []string{`f:5:25: "tomorrow" is not a time`}},
		{"bad factor", "event e service=s start=2027-03-27T20:00:00Z lead=1m length=1h factor=NaN # o", []string{`"NaN" is not a factor`}},
		{"bad prefix", "block 10.0.0.1/8 site=a # o", []string{`f:5:7: "10.0.0.1/8" is not a prefix`}},
		{"bad server", "drain server nas # o", []string{`f:5:14: "nas" is not an address`}},
		{"bad drain", "drain link a # o", []string{`f:5:7: "link" cannot be drained`}},
		{"shift to a drained region", "shift s from=a to=b share=1% # o\ndrain region b # o", []string{"f:5:19: region b is drained"}},
		{"all regions drained", "drain region a # o\ndrain region b # o", []string{"f:4:34: drains leave service s without a region"}},
		{"not utf-8", "drain region \xff # o", []string{"f:5:1: line is not UTF-8"}},
		{"too long", "cap s " + strings.Repeat("x", 5000) + " # o", []string{"line is too long"}},
		{"several problems", "swing s # o\ncap t step=1 every=1m # o\ndrain region c # o", []string{"f:5:1:", "f:6:12:", "f:7:14:"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, problems := yuccarule.Parse("f", []byte(baseRules+test.text+"\n"))
			c.Assert(len(problems), qt.Equals, len(test.want), qt.Commentf("%v", problems))
			for i, want := range test.want {
				c.Assert(problems[i].String(), qt.Contains, want)
			}
			c.Assert(yuccaerror.Is(yuccarule.ProblemsError(problems), yuccaerror.Invalid), qt.Equals, test.want != nil)
		})
	}
}

func TestExamplesParse(t *testing.T) {
	for _, name := range []string{"archive", "kiln"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			text, err := os.ReadFile("../../examples/" + name + "/rules.txt")
			c.Assert(err, qt.IsNil)
			rules, problems := yuccarule.Parse(name, text)
			c.Assert(problems, qt.HasLen, 0)
			c.Assert(rules.Services, qt.HasLen, 3)
			assertRoundTrip(c, rules)
		})
	}
}

func TestLookups(t *testing.T) {
	c := qt.New(t)
	rules, problems := yuccarule.Parse("f", []byte(baseRules+"cap s step=2% every=3m # o\ndrain region b # o"))
	c.Assert(problems, qt.HasLen, 0)
	c.Assert(rules.ShiftLimit("s").Step, qt.Equals, 2*yuccarule.Percent)
	c.Assert(rules.ShiftLimit("s").Window, qt.Equals, 3*time.Minute)
	c.Assert(rules.ShiftLimit("t").Step, qt.Equals, yuccarule.DefaultShiftLimit.Step)
	c.Assert(rules.Drained(yuccarule.DrainRegion, "b"), qt.IsTrue)
	c.Assert(rules.Drained(yuccarule.DrainServer, "b"), qt.IsFalse)
	service, ok := rules.ServiceByHost("s.example")
	c.Assert(ok, qt.IsTrue)
	c.Assert(service.Name, qt.Equals, "s")
}

func TestDiff(t *testing.T) {
	c := qt.New(t)
	from, _ := yuccarule.Parse("f", []byte(baseRules+"drain region a # o\ncap s step=1% every=1m # o"))
	to, _ := yuccarule.Parse("f", []byte(baseRules+"cap s step=2% every=1m # o\ngoal s latency=1s share=99% window=30d # o"))
	changes := yuccarule.Diff(from, to)
	c.Assert(changes, qt.HasLen, 3)
	c.Assert(changes[0].String(), qt.Equals, "- drain   region a  # o")
	c.Assert(changes[1].String(), qt.Equals, "- cap     s step=1% every=1m  # o\n+ cap     s step=2% every=1m  # o")
	c.Assert(changes[2].String(), qt.Equals, "+ goal    s latency=1s share=99% window=30d  # o")
	c.Assert(yuccarule.Diff(to, to), qt.HasLen, 0)
}

func FuzzParse(f *testing.F) {
	f.Add(baseRules)
	f.Add(baseRules + "cap s step=0.0001% every=1h0m1s # o")
	f.Add(baseRules + "event e service=s start=2027-03-27T20:00:00.5+02:00 lead=45m length=4h factor=1e-3 # o")
	f.Add("drain server [::1]:80 # o\nblock 2001:db8::/32 site=x # o")
	f.Fuzz(func(t *testing.T, text string) {
		rules, problems := yuccarule.Parse("f", []byte(text))
		if len(problems) == 0 {
			assertRoundTrip(qt.New(t), rules)
		}
	})
}

// assertRoundTrip checks that parsing the canonical form returns the same rules.
func assertRoundTrip(c *qt.C, rules yuccarule.Rules) {
	printed := rules.String()
	again, problems := yuccarule.Parse("printed", []byte(printed))
	c.Assert(problems, qt.HasLen, 0, qt.Commentf("%s", printed))
	c.Assert(again.String(), qt.Equals, printed)
	c.Assert(yuccarule.Diff(rules, again), qt.HasLen, 0)
}
