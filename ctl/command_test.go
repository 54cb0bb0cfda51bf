package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaburn"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

const (
	goodRules = "region a domains=a1 # net\nservice search host=s regions=a # web\ngoal search latency=300ms share=99% window=30d # web\n"
	moreRules = goodRules + "drain server 10.0.0.1:80 # disks\n"
	badRules  = "region a domains=a1 # net\nservice search host=s regions=b # web\nnonsense\n"
)

// desk is an operator's place: a platform, an entry's admin address and a
// folder with files.
type desk struct {
	platform *yuccafake.Platform
	dir      string
	windows  *yuccaburn.Windows
	rules    uint64
}

func newDesk(t *testing.T) *desk {
	d := &desk{platform: yuccafake.NewPlatform(), dir: t.TempDir(), windows: yuccaburn.NewWindows()}
	api := serve(t, yuccafake.API(d.platform, nil))
	admin := serve(t, d.admin)
	d.platform.SetInstances(yuccastore.Instance{Name: "e1", Kind: yuccastore.KindEntry, Region: "a", Domain: "a1", Admin: admin})
	d.write(t, "yuccactl.toml", "store = \"http://"+api+"\"\nby = \"ops\"\n")
	d.write(t, "lost.toml", "store = \"http://127.0.0.1:1\"\n")
	d.write(t, "good.txt", goodRules)
	d.write(t, "more.txt", moreRules)
	d.write(t, "bad.txt", badRules)
	return d
}

func serve(t *testing.T, h fasthttp.RequestHandler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &fasthttp.Server{Handler: h}
	group := &errgroup.Group{}
	group.Go(func() error { return s.Serve(l) })
	t.Cleanup(func() {
		_ = l.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_ = s.ShutdownWithContext(ctx)
		_ = group.Wait()
	})
	return l.Addr().String()
}

func (d *desk) admin(ctx *fasthttp.RequestCtx) {
	var page any = yuccasync.Status{
		Name: "e1", Region: "a", Domain: "a1", Ready: true, Rules: d.rules, Plan: 7, Epoch: 2, Made: time.Now(),
		Use:   []yuccasync.BudgetUsage{{Service: "search", Region: "a", Busy: 3, Slots: 12}},
		Ramps: []yuccaplan.Ramp{{Service: "search", From: "a", Left: 0.4, End: time.Date(2027, 3, 27, 20, 0, 0, 0, time.UTC)}},
	}
	if string(ctx.Path()) == "/burn" {
		keep := yuccaburn.SnapshotSet{}.With(yuccaburn.Snapshot{Origin: "e1", Run: "1", Seq: 1, At: time.Now(), Windows: d.windows})
		page, _ = yuccaburn.ExportSnapshots(keep)
	}
	body, _ := json.Marshal(page)
	ctx.SetBody(body)
}

func (d *desk) write(t *testing.T, name, text string) {
	qt.Assert(t, os.WriteFile(filepath.Join(d.dir, name), []byte(text), 0o600), qt.IsNil)
}

// run runs a command line in which @NAME stands for a file of the folder.
func (d *desk) run(args ...string) (string, int) {
	full := []string{"--settings", filepath.Join(d.dir, "yuccactl.toml")}
	for _, a := range args {
		if a[0] == '@' {
			a = filepath.Join(d.dir, a[1:])
		}
		full = append(full, a)
	}
	var out bytes.Buffer
	c := command()
	c.SetOut(&out)
	c.SetArgs(full)
	err := c.ExecuteContext(context.Background())
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), yuccaerror.KindOf(err).Attributes().Exit
}

func TestCommands(t *testing.T) {
	tests := []struct {
		name string
		args []string
		exit int
		want string
	}{
		{"check good", []string{"check", "@good.txt"}, 0, "no faults"},
		{"check bad", []string{"check", "@bad.txt"}, 1, `bad.txt:2:31: unknown region "b"`},
		{"check all faults", []string{"check", "@bad.txt"}, 1, "bad.txt:3:9: nobody is named"},
		{"check json", []string{"check", "@bad.txt", "--json"}, 1, `"line": 2`},
		{"check no file", []string{"check", "@none.txt"}, 1, "no such file"},
		{"check without file", []string{"check"}, 2, "accepts 1 arg"},
		{"unknown flag", []string{"check", "--nope"}, 2, "unknown flag"},
		{"unknown command", []string{"chek"}, 2, "unknown command"},
		{"show nothing", []string{"show"}, 1, "no such object"},
		{"apply bad", []string{"apply", "@bad.txt"}, 1, "unknown region"},
		{"apply", []string{"apply", "@good.txt"}, 0, "version 1 accepted"},
		{"unreachable", []string{"apply", "@good.txt", "--settings", "@lost.toml"}, 3, "platform"},
		{"bad settings", []string{"status", "--settings", "@good.txt"}, 1, "good.txt"},
		{"status", []string{"status"}, 0, "3 of 12"},
		{"status of the plan", []string{"status"}, 0, "plan 7 of epoch 2, made "},
		{"status of ramps", []string{"status"}, 0, "moving: search from a, 40% left, done about 2027-03-27T20:00:00Z"},
		{"version", []string{"version"}, 0, "yuccactl"},
		{"plan without file", []string{"diff"}, 2, "accepts 1 arg"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			out, exit := newDesk(t).run(test.args...)
			c.Assert(exit, qt.Equals, test.exit, qt.Commentf("%s", out))
			c.Assert(out, qt.Contains, test.want)
		})
	}
}

func TestApplyShowDiff(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t)
	_, exit := d.run("apply", "@good.txt")
	c.Assert(exit, qt.Equals, 0)
	shown, exit := d.run("show")
	c.Assert(exit, qt.Equals, 0)
	c.Assert(shown, qt.Contains, "# version 1 by ops at ")
	c.Assert(shown, qt.Contains, goodRules)
	out, _ := d.run("diff", "@more.txt")
	c.Assert(out, qt.Equals, "+ drain   server 10.0.0.1:80  # disks\n")

	d.write(t, "shown.txt", shown+"drain server 10.0.0.2:80 # mine\n")
	out, exit = d.run("apply", "@more.txt")
	c.Assert(exit, qt.Equals, 0, qt.Commentf("%s", out))
	out, exit = d.run("apply", "@shown.txt")
	c.Assert(exit, qt.Equals, 1)
	c.Assert(out, qt.Contains, "based on version 1, version 2 by ops is in force")
	c.Assert(out, qt.Contains, "- drain   server 10.0.0.1:80")
}

func TestApplyWaitNamesWhoIsBehind(t *testing.T) {
	tests := []struct {
		name  string
		rules uint64
		exit  int
		want  string
	}{
		{"in force", 1, 0, "version 1 in force at every live entry"},
		{"behind", 0, 3, "not in force at e1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDesk(t)
			d.rules = test.rules
			out, exit := d.run("apply", "@good.txt", "--wait", "--timeout", "500ms")
			c.Assert(exit, qt.Equals, test.exit, qt.Commentf("%s", out))
			c.Assert(out, qt.Contains, test.want)
		})
	}
}

// TestApplySettlesALostAnswer loses the answer to the write and expects one
// version, reported as accepted.
func TestApplySettlesALostAnswer(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t)
	d.platform.Fail(yuccafake.PlatformFaults{LostReplies: 1})
	out, exit := d.run("apply", "@good.txt")
	c.Assert(exit, qt.Equals, 0, qt.Commentf("%s", out))
	c.Assert(out, qt.Contains, "version 1 accepted")
	out, _ = d.run("show")
	c.Assert(out, qt.Contains, "# version 1 ")
}

func TestReport(t *testing.T) {
	c := qt.New(t)
	d := newDesk(t)
	_, exit := d.run("apply", "@good.txt")
	c.Assert(exit, qt.Equals, 0)
	key := yuccaburn.Key{Service: "search", From: "a"}
	for range 99 {
		d.windows.Record(time.Now(), key, yuccaburn.Good, false)
	}
	d.windows.Record(time.Now(), key, yuccaburn.Late, false)
	out, exit := d.run("report", "--svg", "@burn.svg")
	c.Assert(exit, qt.Equals, 0, qt.Commentf("%s", out))
	c.Assert(out, qt.Matches, `(?s).*search +all +99% in 300ms +30d +100 +0 +1 +0 +0 +100% +0% .*`)
	svg, err := os.ReadFile(filepath.Join(d.dir, "burn.svg"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(svg), qt.Contains, "Error budget spent")
	out, _ = d.run("report", "--json")
	var r yuccaburn.Report
	c.Assert(json.Unmarshal([]byte(out), &r), qt.IsNil)
	c.Assert(r.Goals[0].Count, qt.Equals, yuccaburn.Count{Total: 100, Late: 1})
}
