package ctl

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	flagAround    = "around"
	defaultAround = 3 * time.Second
	// maxLogLine bounds a line of a log.
	maxLogLine = 1 << 20
)

// idFields are the fields of a log line that may hold a request's id.
var idFields = []string{"request", "job", "id"}

// beliefs are the numbers of the events that tell a change of what a process
// believes or depends on, by the field that ties them to a request.
var beliefs = map[string]string{
	"501": "", "502": "", "601": "", "602": "", "101": "", "102": "", "103": "", "104": "",
	"701": "backend", "702": "backend", "703": "backend", "704": "backend", "705": "backend",
	"311": "shard", "312": "shard", "313": "shard",
}

func (t Tool) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell the story of a request or a batch job from the log lines of several processes",
		ArgsUsage: "ID [FILE ...]",
		Description: "Reads log files, or standard input if there are none. Beside the lines of ID it shows what the\n" +
			"processes that handled it learned, shortly before and meanwhile, of the backend servers and shards\n" +
			"involved, of the configuration and of the store.",
		Flags: []cli.Flag{&cli.DurationFlag{Name: flagAround, Value: defaultAround, Usage: "how long before the first line to look"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.Args().Present() {
				return withCode(ExitUsage, errors.New("explain: an id is needed"))
			}
			lines, err := t.readLogs(c.Args().Tail())
			if err != nil {
				return err
			}
			return t.explain(c.Args().First(), lines, c.Duration(flagAround))
		},
	}
}

// logLine is one line of a process's log.
type logLine struct {
	at     time.Time
	node   string
	msg    string
	fields map[string]string
	// rest holds the fields in their order, without those above.
	rest []string
}

func (t Tool) readLogs(paths []string) ([]logLine, error) {
	if len(paths) == 0 {
		return readLog(t.Stdin)
	}
	var all []logLine
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "explain")
		}
		lines, err := readLog(f)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog reads log lines and passes over everything else. What stands before
// the time is left out: collectors put their own fields there.
func readLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "time=")
		if !found {
			continue
		}
		if line, ok := parseLine("time=" + text); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "explain")
}

func parseLine(text string) (logLine, bool) {
	line := logLine{fields: make(map[string]string)}
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			line.fields[key] = value
			switch key {
			case "time", "level", "event", "node", "msg":
			default:
				line.rest = append(line.rest, key+"="+value)
			}
		}
	}
	at, err := time.Parse(time.RFC3339Nano, line.fields["time"])
	if d.Err() != nil || err != nil || line.fields["msg"] == "" {
		return line, false
	}
	line.at, line.node, line.msg = at, line.fields["node"], line.fields["msg"]
	return line, true
}

func (l logLine) about(id string) bool {
	return slices.ContainsFunc(idFields, func(f string) bool { return l.fields[f] == id })
}

// explain prints the lines about id and the beliefs around them, in order.
func (t Tool) explain(id string, lines []logLine, around time.Duration) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var own []logLine
	involved := make(map[string]bool)
	for _, l := range lines {
		if !l.about(id) {
			continue
		}
		own = append(own, l)
		for _, field := range []string{"backend", "shard"} {
			if v := l.fields[field]; v != "" {
				involved[l.node+"/"+field+"/"+v] = true
			}
		}
		involved[l.node] = true
	}
	if len(own) == 0 {
		return errors.Errorf("explain: no line names %s", id)
	}
	first, last := own[0].at, own[len(own)-1].at
	for _, l := range lines {
		switch {
		case l.about(id):
			t.printStory(l, first, "")
		case l.at.Before(first.Add(-around)) || l.at.After(last):
		case l.belief(involved):
			t.printStory(l, first, "  . ")
		}
	}
	return nil
}

// belief reports whether the line tells of something that the processes involved
// learned.
func (l logLine) belief(involved map[string]bool) bool {
	field, known := beliefs[l.fields["event"]]
	if !known || !involved[l.node] {
		return false
	}
	return field == "" || involved[l.node+"/"+field+"/"+l.fields[field]]
}

// printStory prints a line with its time since the first one.
func (t Tool) printStory(l logLine, first time.Time, mark string) {
	t.printf("%+9.3fs %-20s %s%s %s\n", l.at.Sub(first).Seconds(), cmp.Or(l.node, "-"), mark, l.msg, strings.Join(l.rest, " "))
}
