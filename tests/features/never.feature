Feature: What must never happen does not, whatever fails

  Scenario Outline: A fleet under load meets a failure and serves again after it
    Given the <deployment> fleet under load with seed <seed>
    When <fault> strikes for <seconds> seconds
    Then no rule is broken
    And callers are served again

    Examples: Machines, zones, clocks and links
      | deployment | seed | fault                    | seconds |
      | licensing  | 101  | kill_router              | 5       |
      | archive    | 102  | kill_many_routers        | 5       |
      | licensing  | 103  | kill_many                | 5       |
      | archive    | 104  | restart_fleet            | 5       |
      | licensing  | 105  | roll_routers             | 16      |
      | archive    | 106  | freeze_router            | 5       |
      | licensing  | 107  | kill_zone                | 5       |
      | archive    | 108  | freeze_zone              | 5       |
      | licensing  | 109  | cut_zone                 | 5       |
      | archive    | 110  | jump_clock               | 5       |
      | archive    | 111  | jump_clocks              | 5       |
      | archive    | 112  | cut_router               | 5       |
      | licensing  | 113  | cut_router_one_way       | 5       |
      | archive    | 114  | cut_router_from_core     | 5       |
      | licensing  | 115  | slow_nodes               | 5       |

    Examples: The core and its disks
      | deployment | seed | fault                    | seconds |
      | licensing  | 116  | kill_core                | 5       |
      | archive    | 117  | freeze_core              | 5       |
      | licensing  | 118  | freeze_holder            | 8       |
      | archive    | 119  | freeze_seat_in_a_put     | 5       |
      | licensing  | 120  | empty_core               | 5       |
      | licensing  | 121  | exchange_seeds           | 18      |
      | licensing  | 122  | exchange_awake_core      | 5       |
      | archive    | 123  | lossy_core               | 5       |
      | licensing  | 124  | restart_core             | 5       |
      | archive    | 125  | full_disk                | 5       |
      | licensing  | 126  | full_disk_in_a_rejoin    | 5       |
      | archive    | 127  | stall_disk               | 5       |
      | licensing  | 128  | stall_disk_in_a_put      | 5       |
      | archive    | 129  | slow_disk                | 5       |
      | licensing  | 130  | slow_disks               | 5       |
      | archive    | 131  | cut_core                 | 5       |
      | licensing  | 132  | cut_core_from_edge       | 5       |
      | archive    | 133  | cut_core_apart           | 5       |
      | licensing  | 134  | cut_seat_from_seats      | 5       |
      | archive    | 135  | cut_seat_from_edge       | 5       |
      | licensing  | 136  | cut_seats_one_way        | 5       |
      | archive    | 137  | slow_seat                | 5       |

    Examples: Runners, hand-overs and the platform
      | deployment | seed | fault                    | seconds |
      | licensing  | 138  | crash_runner             | 5       |
      | archive    | 139  | crash_runners            | 5       |
      | licensing  | 140  | dark_runner              | 5       |
      | archive    | 141  | freeze_runner            | 5       |
      | licensing  | 142  | replace_runner           | 8       |
      | archive    | 143  | roll_runners             | 22      |
      | licensing  | 144  | rename_runner            | 5       |
      | archive    | 145  | ghost_runners            | 5       |
      | licensing  | 146  | die_before_hand_over     | 5       |
      | archive    | 147  | die_in_the_transfer      | 5       |
      | licensing  | 148  | leave_unlisted           | 5       |
      | archive    | 149  | lapse_handles            | 5       |
      | licensing  | 150  | lapse_in_the_transfer    | 5       |
      | archive    | 151  | fail_hand_overs          | 5       |
      | licensing  | 152  | mute_runners             | 5       |
      | archive    | 153  | late_reports             | 5       |
      | licensing  | 154  | no_reports               | 5       |
      | archive    | 155  | slow_links               | 5       |
      | licensing  | 156  | slow_pair                | 5       |
      | archive    | 157  | garble_streams           | 5       |
      | licensing  | 158  | silent_platform          | 6       |
      | archive    | 159  | late_platform            | 8       |
      | licensing  | 160  | cut_platform_from_holder | 5       |

    Examples: Callers and operators
      | deployment | seed | fault                    | seconds |
      | licensing  | 161  | break_conns              | 5       |
      | archive    | 162  | crowd                    | 5       |
      | licensing  | 163  | swing_mix                | 5       |
      | archive    | 164  | collide_plans            | 5       |
      | licensing  | 165  | burst_plans              | 5       |
      | archive    | 166  | remove_group             | 5       |
