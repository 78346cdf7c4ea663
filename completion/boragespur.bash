# Bash completion for boragespur.
_boragespur()
{
    local current=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD-1]}
    local commands="check send status explain drain version"
    local options="--admin= --callers= --token= --key= --ticket= --tier=
        --method= --data= --deadline-ms= --json --help"
    local explain="--admin= --host= --path= --account= --prompt-tokens=
        --output-tokens= --log= --json --help"
    [[ ${COMP_WORDS[1]} == explain ]] && options=$explain
    if [[ $previous == check ]]; then
        mapfile -t COMPREPLY < <(compgen -f -- "$current")
    elif [[ $previous == send ]]; then
        mapfile -t COMPREPLY < <(compgen -W "/v1/chat/completions
            /v1/completions /v1/models /services/" -- "$current")
    elif [[ $current == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
    else
        mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$current")
    fi
}
complete -o filenames -F _boragespur boragespur
