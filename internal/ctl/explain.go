package ctl

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	flagAround    = "around"
	flagSummary   = "summary"
	flagIDs       = "ids"
	flagPer       = "per"
	defaultAround = 3 * time.Second
	// maxLogLine is the maximum length of a log line in bytes.
	maxLogLine = 1 << 20
)

// requestIDFields are the fields of a log line that may hold the id of a request
// or batch job.
var requestIDFields = []string{"request", "job", "id"}

// stateEvents holds the numbers of the events that report a change of a process's
// own state (101 to 104), of its shards (311 to 313), of the log service (501 and
// 502), of the configuration (601 to 603) or of a backend server (701 to 705). The
// value is the field that relates the event to a request. An empty field relates it
// to every request that the process handles.
var stateEvents = map[string]string{
	"501": "", "502": "", "601": "", "602": "", "603": "", "101": "", "102": "", "103": "", "104": "",
	"701": "backend", "702": "backend", "703": "backend", "704": "backend", "705": "backend",
	"311": "shard", "312": "shard", "313": "shard", "208": "workspace", "715": "workspace",
}

func (t Tool) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what happened to a request or a batch job from the log lines of several processes",
		ArgsUsage: "ID [FILE ...], or --summary [FILE ...]",
		Description: "Reads log files, or standard input if there are none. In addition to the lines with ID it shows the\n" +
			"events that the processes involved logged shortly before and in the meantime about the backend servers,\n" +
			"shards and workspaces involved, the configuration and the store. With --summary it counts the requests that were not\n" +
			"answered by cause and by whether another decision could have served them; with --per also in each window of time.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagAround, Value: defaultAround, Usage: "how long before the first line related events are shown"},
			&cli.BoolFlag{Name: flagSummary, Usage: "count all requests by how they ended"},
			&cli.DurationFlag{Name: flagPer, Usage: "with --summary, count also in each window of `DURATION`"},
			&cli.StringFlag{Name: flagIDs, Usage: "count only the requests whose ids are in `FILE`, one in each line"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool(flagSummary) {
				return t.explainAll(c.Args().Slice(), c.String(flagIDs), c.Duration(flagPer), c.Bool(flagJSON))
			}
			if !c.Args().Present() {
				return withCode(ExitUsage, errors.New("explain: ID is missing"))
			}
			lines, err := t.readLogs(c.Args().Tail())
			if err != nil {
				return err
			}
			return t.explain(c.Args().First(), lines, c.Duration(flagAround))
		},
	}
}

// explainAll prints how the requests in the logs ended.
func (t Tool) explainAll(paths []string, idFile string, per time.Duration, asJSON bool) error {
	var ids map[string]bool
	if idFile != "" {
		var err error
		if ids, err = readIDs(idFile); err != nil {
			return err
		}
	}
	lines, err := t.readLogs(paths)
	if err != nil {
		return err
	}
	s := summarize(lines, ids, per)
	if asJSON {
		return t.writeJSON(s)
	}
	t.printSummary(s)
	return nil
}

// logLine is one line of a process's log.
type logLine struct {
	at     time.Time
	node   string
	msg    string
	fields map[string]string
	// rest holds the other fields in the order of the line.
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
		_ = f.Close() // the file was opened for reading only
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// lineStart is the beginning of a log line.
var lineStart = regexp.MustCompile(`(^|\s)time=\d`)

// readLog reads log lines and skips everything else. It ignores text before the
// time field, where log collectors add their own fields. If a collector has joined lines
// of several processes, it reads each of them.
func readLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		begins := lineStart.FindAllStringIndex(text, -1)
		for i, begin := range begins {
			end := len(text)
			if i+1 < len(begins) {
				end = begins[i+1][0]
			}
			if line, ok := parseLine(strings.TrimSpace(text[begin[0]:end])); ok {
				lines = append(lines, line)
			}
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

// hasID reports whether the line is about a request or a batch job. The processes name a job of a
// workspace by both.
func (l logLine) hasID(id string) bool {
	scoped := "/" + url.PathEscape(id)
	return slices.ContainsFunc(requestIDFields, func(f string) bool {
		return l.fields[f] == id || strings.HasSuffix(l.fields[f], scoped)
	})
}

// explain prints the lines with the id and the related state events around them,
// in the order of time.
func (t Tool) explain(id string, lines []logLine, around time.Duration) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var own []logLine
	// involved contains "NODE" for each process that logged the id, and
	// "NODE/FIELD/VALUE" for each backend server, shard and workspace that it logged with the id.
	involved := make(map[string]bool)
	for _, l := range lines {
		if !l.hasID(id) {
			continue
		}
		own = append(own, l)
		for _, field := range []string{"backend", "shard", "workspace"} {
			if v := l.fields[field]; v != "" {
				involved[l.node+"/"+field+"/"+v] = true
			}
		}
		involved[l.node] = true
	}
	if len(own) == 0 {
		return errors.Errorf("explain: no log line contains %s", id)
	}
	first, last := own[0].at, own[len(own)-1].at
	for _, l := range lines {
		switch {
		case l.hasID(id):
			t.printLine(l, first, "")
		case l.at.Before(first.Add(-around)) || l.at.After(last):
		case l.changesState(involved):
			t.printLine(l, first, "  . ")
		}
	}
	return nil
}

// changesState reports whether the line records a state event of an involved
// process that is related to the request.
func (l logLine) changesState(involved map[string]bool) bool {
	field, known := stateEvents[l.fields["event"]]
	if !known || !involved[l.node] {
		return false
	}
	return field == "" || involved[l.node+"/"+field+"/"+l.fields[field]]
}

// printLine prints a line with its time relative to the first one.
func (t Tool) printLine(l logLine, first time.Time, mark string) {
	t.printf("%+9.3fs %-20s %s%s %s\n", l.at.Sub(first).Seconds(), cmp.Or(l.node, "-"), mark, l.msg, strings.Join(l.rest, " "))
}
