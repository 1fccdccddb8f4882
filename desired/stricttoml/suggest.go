package stricttoml

import (
	"fmt"
	"sort"
	"strings"
)

// Suggest proposes the known name with the smallest edit distance to name, or lists
// the known names if none is close. It returns "" if there are no known names.
func Suggest(name string, known []string) string {
	if len(known) == 0 {
		return ""
	}
	known = append([]string(nil), known...)
	sort.Strings(known)
	best, bestDistance := "", maxSuggestDistance(name)+1
	for _, k := range known {
		if d := editDistance(strings.ToLower(name), strings.ToLower(k)); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "known: " + strings.Join(known, ", ")
}

// maxSuggestDistance returns the largest edit distance between a name and its
// suggestion.
func maxSuggestDistance(name string) int {
	return max(2, len(name)/3)
}

// editDistance returns the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(row[j]+1, row[j-1]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
