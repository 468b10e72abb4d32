#include "cell/cell_confirm.h"

#include <stdlib.h>

void
cell_confirm_add (CellConfirm *confirm, const GrName *from, uint64_t id)
{
  gr_list_push (&confirm->waiting, (CellConfirmCall){ *from, id });
}

bool
cell_confirm_begin (CellConfirm *confirm, bool wanted)
{
  if (confirm->open || (confirm->waiting.count == 0 && !wanted))
    return false;
  confirm->open = true;
  confirm->asked = confirm->waiting;
  confirm->waiting = (CellConfirmCalls){ 0 };
  return true;
}

void
cell_confirm_end (CellConfirm *confirm, CellConfirmCalls *calls)
{
  *calls = confirm->asked;
  confirm->asked = (CellConfirmCalls){ 0 };
  confirm->open = false;
}

void
cell_confirm_clear (CellConfirm *confirm)
{
  gr_list_clear (&confirm->waiting);
  gr_list_clear (&confirm->asked);
}
